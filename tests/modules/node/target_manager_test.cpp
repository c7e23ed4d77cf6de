#include "modules/node/target_manager.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <optional>
#include <ostream>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

/// A node's target manager that records what it announces.
struct fixture {
    manual_time_source clock;
    decision_log decisions{clock, 16};
    std::vector<managed_target_fact> facts;
    target_manager targets{
        clock,
        {.admission_of = [](std::string_view) { return service_admission{}; },
         .target_changed = [this](const managed_target_fact& fact) { facts.push_back(fact); },
         .target_crashed = [](const std::string&, const crash_report&) {}},
        decisions};

    absl::Status announce(target_lifecycle state, std::uint64_t sequence, std::uint64_t incarnation = 7) {
        announcement message;
        message.identity = {"t1", incarnation};
        message.service = "contratos";
        message.address = {"127.0.0.1", 9000};
        message.slots = 4;
        message.state = state;
        message.sequence = sequence;
        return targets.on_announcement(message);
    }

    [[nodiscard]] bool admits() const {
        const auto target = targets.find("t1");
        return target && target->guarded().load().state == admission_state::open;
    }
};

/// How a node learns that a target leaves.
struct departure_case {
    const char* name;
    bool announced;                            ///< By a heartbeat, otherwise by a deregistration.
    std::optional<std::uint64_t> incarnation;  ///< Named by the deregistration.
    bool known;                                ///< The node has heard of the target before.
};
std::ostream& operator<<(std::ostream& out, const departure_case& item) {
    return out << item.name;
}
const std::vector<departure_case> departure_cases{
    {"announced by heartbeat", true, std::nullopt, true},
    {"first heartbeat that the node hears", true, std::nullopt, false},
    {"deregistered", false, std::nullopt, true},
    {"deregistered by incarnation", false, 7, true},
    {"told by another node before any heartbeat", false, 7, false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(target_departures)

// Guards against a target that has left and gets requests again, because a heartbeat that it sent before
// arrives after its entry has expired, or after its node has restarted.
BOOST_DATA_TEST_CASE(late_heartbeat_does_not_bring_a_departed_target_back,
                     boost::unit_test::data::make(departure_cases), item) {
    fixture node;
    if (item.known) {
        BOOST_TEST(node.announce(target_lifecycle::ready, 1).ok());
        BOOST_TEST(node.admits());
    }
    if (item.announced) {
        BOOST_TEST(node.announce(target_lifecycle::leaving, 3).ok());
    } else {
        node.targets.on_departure({.target = "t1", .incarnation = item.incarnation});
    }
    BOOST_TEST(!node.admits());
    BOOST_TEST(node.targets.has_departed({"t1", 7}));
    BOOST_TEST((node.facts.empty() || node.facts.back().departed));
    node.clock.advance(30s);
    node.targets.remove_expired_targets();
    BOOST_TEST(node.targets.all().empty());
    BOOST_TEST(!node.announce(target_lifecycle::ready, 2).ok());
    BOOST_TEST(!node.announce(target_lifecycle::ready, 4).ok());
    // The target keeps sending heartbeats until it ends, and needs an acknowledgement.
    BOOST_TEST(node.announce(target_lifecycle::leaving, 5).ok());
    BOOST_TEST(!node.admits());
    BOOST_TEST(node.announce(target_lifecycle::ready, 1, 8).ok());
    BOOST_TEST(node.admits());
    BOOST_TEST(!node.facts.back().departed);
}

// Guards against a target that counts as departed because its node stops, and stays out of use when the node
// is back.
BOOST_AUTO_TEST_CASE(stopping_node_announces_no_departure) {
    fixture node;
    BOOST_TEST(node.announce(target_lifecycle::ready, 1).ok());
    node.targets.set_all_leaving();
    BOOST_TEST((node.facts.back().state == target_lifecycle::leaving));
    BOOST_TEST(!node.facts.back().departed);
    BOOST_TEST(node.announce(target_lifecycle::leaving, 2).ok());
    BOOST_TEST(node.facts.back().departed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
