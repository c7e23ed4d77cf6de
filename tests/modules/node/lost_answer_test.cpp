// Load: answers lost for some seconds on a page that was just added, while all targets are sound (review/10),
// and a request that really crashes each target that runs it.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "modules/node/target_manager.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t page = 77;

struct fixture {
    manual_time_source clock;
    decision_log decisions{clock, 16};
    int crashes = 0;
    target_manager targets{clock,
                           {.admission_of = [](std::string_view) { return service_admission{}; },
                            .target_changed = [](const managed_target_fact&) {},
                            .target_crashed = [this](const std::string&, const crash_report&) { ++crashes; }},
                           decisions};

    void announce(int number, std::uint64_t incarnation, target_lifecycle state = target_lifecycle::ready) {
        announcement message;
        message.identity = {"t" + std::to_string(number), incarnation};
        message.service = "files";
        message.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
        message.slots = 4;
        message.state = state;
        BOOST_TEST(targets.on_announcement(message).ok());
    }
    /// A run of the page whose connection is lost at the end.
    void lose_answer(int number, bool accepts_connections) {
        const auto target = targets.find("t" + std::to_string(number));
        request_head head;
        head.service = "files";
        head.fingerprint = page;
        const gate_run run{head, target->guarded(), 1};
        exchange_result result = failed_exchange(error_kind::outcome_unknown, "the connection was reset");
        result.target_crashed = !accepts_connections;
        result.answer_lost = accepts_connections;
        targets.on_run_started(run);
        targets.on_run_ended({run, result, 0, 20ms});
    }
};

/// What happens to three targets after they have lost the answer to the same request.
enum class target_fate { goes_on, listener_gone, found_gone_later, restarted, replaced_at_address, left };

struct fate_case {
    const char* name;
    target_fate fate;
    bool quarantined;
};
std::ostream& operator<<(std::ostream& out, const fate_case& item) {
    return out << item.name;
}
const std::vector<fate_case> fate_cases{
    {"goes on", target_fate::goes_on, false},
    {"no listener at once", target_fate::listener_gone, true},
    {"listener gone shortly after", target_fate::found_gone_later, true},
    {"restarted as a new incarnation", target_fate::restarted, true},
    {"another target starts at its address", target_fate::replaced_at_address, true},
    {"left as announced, then restarted", target_fate::left, false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(lost_answers_of_targets)

// Guards against a page that the whole fleet refuses for 300 s because answers were lost although no target
// has crashed, and against a request that goes on crashing targets because its crashes look like lost
// answers.
BOOST_DATA_TEST_CASE(only_the_end_of_a_process_is_a_crash, boost::unit_test::data::make(fate_cases), item) {
    fixture node;
    for (int number = 0; number < 3; ++number) {
        node.announce(number, 1);
        node.lose_answer(number, item.fate != target_fate::listener_gone);
    }
    node.clock.advance(1s);
    for (int number = 0; number < 3; ++number) {
        switch (item.fate) {
            case target_fate::goes_on:
                node.announce(number, 1);
                break;
            case target_fate::listener_gone:
                break;
            case target_fate::found_gone_later:
                node.targets.crashes().on_process_ended({"t" + std::to_string(number), 1});
                break;
            case target_fate::restarted:
                node.announce(number, 2);
                break;
            case target_fate::replaced_at_address: {
                announcement message;
                message.identity = {"new" + std::to_string(number), 2};
                message.service = "files";
                message.address = {"127.0.0.1", static_cast<std::uint16_t>(9000 + number)};
                message.slots = 4;
                message.state = target_lifecycle::ready;
                BOOST_TEST(node.targets.on_announcement(message).ok());
                break;
            }
            case target_fate::left:
                node.announce(number, 1, target_lifecycle::leaving);
                node.announce(number, 2);
                break;
        }
    }
    BOOST_TEST(node.targets.quarantine().is_quarantined(page) == item.quarantined);
    BOOST_TEST(node.crashes == (item.quarantined ? 3 : 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
