#include "servers/routing/ejector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {

std::ostream& operator<<(std::ostream& out, target_state state) {
    return out << to_string(state);
}

BOOST_AUTO_TEST_SUITE(ejection)

using namespace std::chrono_literals;

struct ejector_fixture {
    manual_time_source clock;
    std::vector<registered_target> targets;
    ejector subject{clock, {.floors = {{.zone = "", .capacity = 0, .share = 0.5}}, .states = {}}};

    explicit ejector_fixture(int count = 6) {
        for (int i = 0; i < count; ++i) {
            targets.push_back({.identity = {"t" + std::to_string(i), 1},
                               .node = "n" + std::to_string(i),
                               .zone = "z" + std::to_string(i % 3),
                               .slots = 4,
                               .ready_since = clock.now() - 1h});
        }
        subject.replace_targets(targets);
        subject.on_tick();
    }

    [[nodiscard]] std::string ejected_names() const {
        std::string names;
        for (const target_share& share : subject.shares()) {
            names += share.state == target_state::ejected ? share.target.name + " " : "";
        }
        return names;
    }
    [[nodiscard]] target_share share_of(const std::string& name) const {
        for (const target_share& share : subject.shares()) {
            if (share.target.name == name) {
                return share;
            }
        }
        return {};
    }
};

// Guards against an ejection order that differs between nodes, and against capacity below the floor when more
// targets trigger ejection than the floor allows.
BOOST_AUTO_TEST_CASE(worst_targets_are_ejected_down_to_the_floor) {
    ejector_fixture f;
    f.subject.on_gate_verdict("t3", 1.0, true);
    f.subject.on_gate_verdict("t1", 1.0, true);
    f.subject.on_gate_verdict("t0", 1.0, true);
    BOOST_TEST(f.ejected_names() == "t0 t1 t3 ");
    const auto decisions = f.subject.on_gate_verdict("t5", 1.2, true);
    BOOST_TEST_REQUIRE(decisions.size() == 1U);
    BOOST_TEST((decisions[0].action == ejector_action::refuse));
    f.subject.on_gate_verdict("t5", 4.0, true);
    f.subject.on_tick();
    BOOST_TEST(f.ejected_names() ==
               "t0 t1 t5 ");  // The target with a much higher score replaces the least severe one.
}

struct capacity_case {
    const char* name;
    target_lifecycle lifecycle;
    std::chrono::milliseconds ready_for;
};
std::ostream& operator<<(std::ostream& out, const capacity_case& item) {
    return out << item.name;
}
const std::vector<capacity_case> capacity_losses{{"leaving", target_lifecycle::leaving, 1h},
                                                 {"starting", target_lifecycle::starting, 0ms},
                                                 {"warming", target_lifecycle::ready, 1s}};

// Guards against ejections that persist although capacity below the floor was lost for another reason.
BOOST_DATA_TEST_CASE(capacity_loss_readmits_the_lowest_score, boost::unit_test::data::make(capacity_losses),
                     loss) {
    ejector_fixture f;
    f.subject.on_gate_verdict("t0", 3.0, true);
    f.subject.on_gate_verdict("t1", 1.5, true);
    f.subject.on_gate_verdict("t2", 2.0, true);
    BOOST_TEST(f.ejected_names() == "t0 t1 t2 ");
    f.targets[3].lifecycle = loss.lifecycle;
    f.targets[3].identity.incarnation = 2;
    f.targets[3].ready_since = f.clock.now() - loss.ready_for;
    f.subject.replace_targets(f.targets);
    BOOST_TEST(f.ejected_names() == "t0 t2 ");
    BOOST_TEST(f.share_of("t1").share == 1.0);
}

// Guards against a target that returns immediately or at its full share after an ejection.
BOOST_AUTO_TEST_CASE(ejected_target_returns_through_trial_traffic) {
    ejector_fixture f;
    f.subject.on_gate_verdict("t0", 1.0, true);
    std::vector<double> shares;
    for (int i = 0; i < 120; ++i) {
        f.clock.advance(100ms);
        f.subject.on_gate_verdict("t0", 0.0, true);
        f.subject.on_tick();
        const double share = f.share_of("t0").share;
        if (shares.empty() || shares.back() != share) {
            shares.push_back(share);
        }
    }
    const std::vector<double> expected{0, 0.01, 0.05, 0.25, 1.0};
    BOOST_TEST(shares == expected, boost::test_tools::per_element());
    BOOST_TEST(f.share_of("t0").state == target_state::healthy);
}

// Guards against a path fault in another zone that ejects a target which this node can reach.
BOOST_AUTO_TEST_CASE(hints_eject_from_two_zones_without_answers) {
    ejector_fixture f;
    f.subject.on_hint("t0", "n1", "z1", 5.0);
    f.subject.on_hint("t0", "n4", "z1", 5.0);
    BOOST_TEST(f.ejected_names().empty());
    f.subject.on_gate_verdict("t0", 0.0, true);
    f.subject.on_hint("t0", "n2", "z2", 5.0);
    BOOST_TEST(f.ejected_names().empty());
    f.clock.advance(1s);
    f.subject.on_tick();
    BOOST_TEST(f.ejected_names() == "t0 ");
}

// Guards against the ejection of a healthy target because path hints of a partitioned zone are added to a low
// gate verdict, which is noise.
BOOST_AUTO_TEST_CASE(hints_do_not_confirm_a_gate_verdict) {
    ejector_fixture f;
    f.subject.on_gate_verdict("t0", 0.9, false);
    f.subject.on_hint("t0", "n1", "z1", 5.0);
    BOOST_TEST(f.ejected_names().empty());
    f.subject.on_node_path_evidence("n0", 0.6);
    f.subject.on_hint("t0", "n4", "z1", 5.0);
    BOOST_TEST(f.ejected_names() == "t0 ");
}

// Guards against a broken path that counts against targets of other nodes.
BOOST_AUTO_TEST_CASE(node_path_evidence_ejects_the_targets_of_the_node) {
    ejector_fixture f;
    f.targets[1].node = "n0";
    f.subject.replace_targets(f.targets);
    f.subject.on_node_path_evidence("n0", 1.5);
    BOOST_TEST(f.ejected_names() == "t0 t1 ");
}

// Guards against evidence about an earlier incarnation that counts against its successor.
BOOST_AUTO_TEST_CASE(new_incarnation_starts_without_evidence) {
    ejector_fixture f;
    f.subject.on_gate_verdict("t0", 3.0, true);
    f.targets[0].identity.incarnation = 2;
    f.targets[0].ready_since = f.clock.now();
    f.subject.replace_targets(f.targets);
    BOOST_TEST(f.share_of("t0").state == target_state::warming);
    BOOST_TEST(f.share_of("t0").outlier_score == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
