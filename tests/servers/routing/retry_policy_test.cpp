#include "servers/routing/retry_policy.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ostream>
#include <vector>

namespace teaselpitch {

std::ostream& operator<<(std::ostream& out, retry_refusal reason) {
    return out << to_string(reason);
}

BOOST_AUTO_TEST_SUITE(retries)

using namespace std::chrono_literals;

struct retry_case {
    const char* name;
    failed_attempt attempt;
    retry_refusal expected;
    std::chrono::milliseconds time_left = 1s;
};

std::ostream& operator<<(std::ostream& out, const retry_case& item) {
    return out << item.name;
}

constexpr auto not_run = execution_state::not_run;
constexpr auto unknown = execution_state::unknown;

const std::vector<retry_case> retry_cases{
    {"unreachable peer, non-idempotent",
     {.error = error_kind::peer_unreachable, .execution = not_run, .non_idempotent = true},
     retry_refusal::none},
    {"overloaded gate", {.error = error_kind::overloaded, .execution = not_run}, retry_refusal::none},
    {"leaving target, second attempt",
     {.error = error_kind::target_leaving, .execution = not_run, .non_idempotent = true, .attempts = 2},
     retry_refusal::none},
    {"unknown outcome, idempotent", {.error = error_kind::outcome_unknown}, retry_refusal::none},
    {"unknown outcome, non-idempotent",
     {.error = error_kind::outcome_unknown, .non_idempotent = true},
     retry_refusal::may_have_run},
    {"timeout, non-idempotent",
     {.error = error_kind::target_timeout, .execution = unknown, .non_idempotent = true},
     retry_refusal::may_have_run},
    {"broken answer that ran, non-idempotent",
     {.error = error_kind::answer_broken, .execution = execution_state::run, .non_idempotent = true},
     retry_refusal::may_have_run},
    {"head written",
     {.error = error_kind::answer_broken, .execution = unknown, .head_written = true},
     retry_refusal::answer_started},
    {"third attempt",
     {.error = error_kind::peer_unreachable, .execution = not_run, .attempts = 3},
     retry_refusal::attempts_used},
    {"body at the replay limit",
     {.error = error_kind::peer_unreachable, .execution = not_run, .consumed_body_bytes = 65'536},
     retry_refusal::none},
    {"body above the replay limit",
     {.error = error_kind::peer_unreachable, .execution = not_run, .consumed_body_bytes = 65'537},
     retry_refusal::body_not_kept},
    {"deadline reached",
     {.error = error_kind::peer_unreachable, .execution = not_run},
     retry_refusal::deadline_passed,
     0ms},
    {"expired at the gate",
     {.error = error_kind::deadline_expired, .execution = not_run},
     retry_refusal::pointless},
    {"quarantined", {.error = error_kind::quarantined, .execution = not_run}, retry_refusal::pointless},
    {"account above its rate limit",
     {.error = error_kind::account_limited, .execution = not_run},
     retry_refusal::pointless},
    {"key in doubt", {.error = error_kind::key_in_doubt, .execution = unknown}, retry_refusal::pointless},
    {"cancelled by the caller",
     {.error = error_kind::cancelled, .execution = unknown},
     retry_refusal::pointless},
};

// Guards against a second execution of a non-idempotent request and against retries that cannot help.
BOOST_DATA_TEST_CASE(retry_rules, boost::unit_test::data::make(retry_cases), item) {
    const manual_time_source clock;
    retry_policy policy(clock, {});
    failed_attempt attempt = item.attempt;
    attempt.deadline = clock.now() + item.time_left;
    const retry_decision decision = policy.on_failure(attempt);
    BOOST_TEST(decision.refusal == item.expected);
    BOOST_TEST(decision.retry == (item.expected == retry_refusal::none));
}

int count_granted_retries(retry_policy& policy, const manual_time_source& clock, int failures) {
    int count = 0;
    for (int i = 0; i < failures; ++i) {
        count += policy
                     .on_failure({.error = error_kind::peer_unreachable,
                                  .execution = not_run,
                                  .deadline = clock.now() + 1s})
                     .retry;
    }
    return count;
}

// Guards against retries that multiply the load when every request fails.
BOOST_AUTO_TEST_CASE(budget_is_a_share_of_recent_successes) {
    manual_time_source clock;
    retry_policy policy(clock, {});
    BOOST_TEST(count_granted_retries(policy, clock, 1'000) == 10);  // The minimum rate alone: 1/s over 10 s.
    clock.advance(10s);
    for (int i = 0; i < 500; ++i) {
        policy.on_success();
    }
    BOOST_TEST(count_granted_retries(policy, clock, 1'000) == 60);
    clock.advance(10s);
    BOOST_TEST(count_granted_retries(policy, clock, 1'000) == 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
