#include "main/load/detection.h"

#include <boost/test/unit_test.hpp>

namespace teaselpitch {
namespace {

constexpr history_time second = 1'000'000;
constexpr history_time step = 10'000;  // Interval between executions: 100 per second.
constexpr history_time fault_at = 5 * second;

// Executions of 5 ms from time 0 to `end_limit`; those that start at or after fault_at take `fault_duration`.
history make_history(history_time end_limit, history_time fault_duration, bool fails) {
    history recorded;
    for (history_time at = 0; at < end_limit; at += step) {
        const bool faulty = at >= fault_at;
        const history_time end = at + (faulty ? fault_duration : 5'000);
        const std::string id = "call-" + std::to_string(at);
        recorded.executions.push_back({id, "", "a", at, end, true});
        call_record call;
        call.call_id = id;
        call.status = faulty && fails ? 500 : 200;
        call.end = end;
        recorded.calls.push_back(call);
    }
    return recorded;
}

BOOST_AUTO_TEST_SUITE(detection_tests)

// Guards against measuring the detection time from the fault instead of the first bad answer.
BOOST_AUTO_TEST_CASE(time_counts_from_the_first_bad_answer) {
    const history recorded = make_history(6 * second, 50'000, false);
    const detection_result result = measure_detection_time(recorded, {"a", fault_at}, 0, 10 * second);
    BOOST_REQUIRE(result.first_bad_answer.has_value());
    BOOST_TEST(*result.first_bad_answer == fault_at + 50'000);
    // Up to 5 starts in the second that follows count as trial traffic.
    BOOST_REQUIRE(result.detected_after.has_value());
    BOOST_TEST(*result.detected_after == 6 * second - 6 * step + 1 - *result.first_bad_answer);
}

// Guards against counting an error answer as good because it is fast.
BOOST_AUTO_TEST_CASE(a_fast_error_is_a_bad_answer) {
    const history recorded = make_history(6 * second, 5'000, true);
    const detection_result result = measure_detection_time(recorded, {"a", fault_at}, 0, 10 * second);
    BOOST_REQUIRE(result.first_bad_answer.has_value());
    BOOST_TEST(*result.first_bad_answer == fault_at + 5'000);
}

// Guards against counting the end of the load as a detection.
BOOST_AUTO_TEST_CASE(a_target_that_keeps_its_rate_is_not_detected) {
    const history recorded = make_history(10 * second, 50'000, false);
    BOOST_TEST(!measure_detection_time(recorded, {"a", fault_at}, 0, 10 * second).detected_after.has_value());
}

// Guards against reporting a detection for a target without bad answers.
BOOST_AUTO_TEST_CASE(target_without_bad_answers_has_no_detection_time) {
    const history recorded = make_history(6 * second, 5'000, false);
    const detection_result result = measure_detection_time(recorded, {"a", fault_at}, 0, 10 * second);
    BOOST_TEST(!result.first_bad_answer.has_value());
    BOOST_TEST(!result.detected_after.has_value());
}

// Guards against counting executions of other targets in the rate of a target.
BOOST_AUTO_TEST_CASE(executions_of_other_targets_are_ignored) {
    history recorded = make_history(6 * second, 50'000, false);
    const std::size_t count = recorded.executions.size();
    for (std::size_t i = 0; i < count; ++i) {
        execution_record other = recorded.executions[i];
        other.target = "b";
        other.start += 6 * second;
        recorded.executions.push_back(other);
    }
    BOOST_TEST(measure_detection_time(recorded, {"a", fault_at}, 0, 10 * second).detected_after.has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
