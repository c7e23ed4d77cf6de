#include "servers/routing/retry_policy.h"

#include <algorithm>

namespace teaselpitch {
namespace {

// Returns true for errors that an immediate attempt at another target may avoid. An overloaded gate refuses
// for its own target only; the other kinds with the advice "later" apply to the whole fleet.
bool is_retryable(error_kind kind) {
    // A further attempt would wait for the same caller.
    if (kind == error_kind::cancelled || kind == error_kind::caller_too_slow) {
        return false;
    }
    const retry_advice advice = get_error_answer(kind).advice;
    return advice == retry_advice::now || advice == retry_advice::idempotent ||
           kind == error_kind::overloaded;
}

}  // namespace

std::string_view to_string(retry_refusal reason) {
    constexpr std::array<std::string_view, 8> names{
        "none",          "answer_started", "pointless",       "may_have_run",
        "attempts_used", "body_not_kept",  "deadline_passed", "budget_empty"};
    return names[static_cast<std::size_t>(reason)];
}

retry_policy::retry_policy(const time_source& clock, retry_options options)
    : clock_(clock), options_(options) {}

void retry_policy::on_success() {
    const std::lock_guard lock(mutex_);
    ++current_second_counts().successes;
}

retry_decision retry_policy::on_failure(const failed_attempt& attempt) {
    const std::lock_guard lock(mutex_);
    const retry_refusal rule_refusal = find_rule_refusal(attempt);
    if (rule_refusal != retry_refusal::none) {
        return {.retry = false, .refusal = rule_refusal};
    }
    if (!attempt.reached_target) {
        return {.retry = true, .refusal = retry_refusal::none};
    }
    if (remaining_budget_locked() < 1.0) {
        return {.retry = false, .refusal = retry_refusal::budget_empty};
    }
    ++current_second_counts().retries;
    return {.retry = true, .refusal = retry_refusal::none};
}

void retry_policy::set_budget_share(double share) {
    const std::lock_guard lock(mutex_);
    options_.budget_share = share;
}

double retry_policy::budget() const {
    const std::lock_guard lock(mutex_);
    return remaining_budget_locked();
}

retry_refusal retry_policy::find_rule_refusal(const failed_attempt& attempt) const {
    if (attempt.head_written) {
        return retry_refusal::answer_started;
    }
    if (!is_retryable(attempt.error)) {
        return retry_refusal::pointless;
    }
    if (attempt.execution != execution_state::not_run && attempt.non_idempotent) {
        return retry_refusal::may_have_run;
    }
    if (attempt.attempts >= options_.max_attempts) {
        return retry_refusal::attempts_used;
    }
    if (attempt.consumed_body_bytes > options_.replay_limit_bytes) {
        return retry_refusal::body_not_kept;
    }
    if (clock_.now() >= attempt.deadline) {
        return retry_refusal::deadline_passed;
    }
    return retry_refusal::none;
}

std::int64_t retry_policy::current_second() const {
    return std::chrono::duration_cast<std::chrono::seconds>(clock_.now().time_since_epoch()).count();
}

retry_policy::second_counts& retry_policy::current_second_counts() {
    const std::int64_t second = current_second();
    second_counts& count = counts_[static_cast<std::size_t>(second) % window_seconds];
    if (count.second != second) {
        count = second_counts{.second = second};
    }
    return count;
}

double retry_policy::remaining_budget_locked() const {
    const std::int64_t oldest = current_second() - static_cast<std::int64_t>(window_seconds) + 1;
    double budget = options_.min_retries_per_s * static_cast<double>(window_seconds);
    for (const second_counts& count : counts_) {
        if (count.second >= oldest) {
            budget += options_.budget_share * static_cast<double>(count.successes);
            budget -= static_cast<double>(count.retries);
        }
    }
    return budget;
}

}  // namespace teaselpitch
