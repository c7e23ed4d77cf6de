#include "main/load/detection.h"

#include <boost/test/unit_test.hpp>

namespace teaselpitch {
namespace {

constexpr history_time second = 1'000'000;
constexpr history_time step = 10'000;  // 100 executions a second.
constexpr history_time fault_at = 5 * second;

// Runs of 5 ms from 0 until the given moment; each from fault_at on takes fault_time.
history make_history(history_time until, history_time fault_time, bool fails) {
    history made;
    for (history_time at = 0; at < until; at += step) {
        const bool faulty = at >= fault_at;
        const history_time end = at + (faulty ? fault_time : 5'000);
        const std::string id = "call-" + std::to_string(at);
        made.executions.push_back({id, "", "a", at, end, true});
        call_record call;
        call.call_id = id;
        call.status = faulty && fails ? 500 : 200;
        call.end = end;
        made.calls.push_back(call);
    }
    return made;
}

BOOST_AUTO_TEST_SUITE(detection_tests)

// Guards against a detection time that counts from the fault instead of the first bad answer.
BOOST_AUTO_TEST_CASE(time_counts_from_the_first_bad_answer) {
    const history made = make_history(6 * second, 50'000, false);
    const detection_result result = measure_detection(made, {"a", fault_at}, 0, 10 * second);
    BOOST_REQUIRE(result.first_bad.has_value());
    BOOST_TEST(*result.first_bad == fault_at + 50'000);
    // Up to 5 starts in the second that follows count as trial traffic.
    BOOST_REQUIRE(result.detected_after.has_value());
    BOOST_TEST(*result.detected_after == 6 * second - 6 * step + 1 - *result.first_bad);
}

// Guards against an error answer that is not a bad answer because it is fast.
BOOST_AUTO_TEST_CASE(a_fast_error_is_a_bad_answer) {
    const history made = make_history(6 * second, 5'000, true);
    const detection_result result = measure_detection(made, {"a", fault_at}, 0, 10 * second);
    BOOST_REQUIRE(result.first_bad.has_value());
    BOOST_TEST(*result.first_bad == fault_at + 5'000);
}

// Guards against the end of the load counting as a detection.
BOOST_AUTO_TEST_CASE(a_target_that_keeps_its_rate_is_not_detected) {
    const history made = make_history(10 * second, 50'000, false);
    BOOST_TEST(!measure_detection(made, {"a", fault_at}, 0, 10 * second).detected_after.has_value());
}

// Guards against a target without bad answers that counts as detected.
BOOST_AUTO_TEST_CASE(a_target_without_bad_answers_has_no_time) {
    const history made = make_history(6 * second, 5'000, false);
    const detection_result result = measure_detection(made, {"a", fault_at}, 0, 10 * second);
    BOOST_TEST(!result.first_bad.has_value());
    BOOST_TEST(!result.detected_after.has_value());
}

// Guards against work of other targets in a target's rate.
BOOST_AUTO_TEST_CASE(other_targets_do_not_count) {
    history made = make_history(6 * second, 50'000, false);
    const std::size_t count = made.executions.size();
    for (std::size_t i = 0; i < count; ++i) {
        execution_record other = made.executions[i];
        other.target = "b";
        other.start += 6 * second;
        made.executions.push_back(other);
    }
    BOOST_TEST(measure_detection(made, {"a", fault_at}, 0, 10 * second).detected_after.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
