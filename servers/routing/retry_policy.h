#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string_view>

#include "core/clock.h"
#include "core/error_kind.h"

namespace teaselpitch {

struct retry_options {
    double budget_share = 0.10;      ///< Retries allowed per recent success; table column retry_budget_pct.
    double min_retries_per_s = 1.0;  ///< Retries per second allowed without any success.
    std::uint32_t max_attempts = 3;
    std::size_t replay_limit_bytes =
        64 * 1024;  ///< Bytes of the request body that the ingress buffers for a retry.
};

/// A failed attempt as observed by the ingress.
struct failed_attempt {
    error_kind error = error_kind::internal;
    execution_state execution = execution_state::unknown;
    bool head_written = false;  ///< The head of this attempt's answer was already sent to the caller.
    bool non_idempotent = false;
    std::uint32_t attempts = 1;             ///< Attempts made so far, including this one.
    std::uint64_t consumed_body_bytes = 0;  ///< Bytes of the request body that were read from the caller.
    steady_time deadline{};
    /// False when no target received the request, so that another attempt adds no load.
    bool reached_target = true;
};

/// Reason why a request is not retried.
enum class retry_refusal : std::uint8_t {
    none,  ///< The request is retried.
    answer_started,
    pointless,     ///< Another attempt would get the same answer, or the caller cancelled the request.
    may_have_run,  ///< The request is not idempotent and may have been executed.
    attempts_used,
    body_not_kept,
    deadline_passed,
    budget_empty,
};

std::string_view to_string(retry_refusal reason);

struct retry_decision {
    bool retry = false;
    retry_refusal refusal = retry_refusal::none;
};

/// Decides whether failed attempts of one service are retried and tracks the service's retry budget.
/// There is one object per service and node. Safe to use from several threads.
class retry_policy {
public:
    retry_policy(const time_source& clock, retry_options options);

    /// Counts an exchange that ended with a complete answer.
    void on_success();

    /// Decides whether to retry a failed attempt. A granted retry after a target was reached consumes budget.
    retry_decision on_failure(const failed_attempt& attempt);

    /// Replaces the budget share after a table change.
    void set_budget_share(double share);

    /// Returns the number of retries left in the budget.
    [[nodiscard]] double budget() const;

private:
    struct second_counts {
        std::int64_t second = -1;
        std::uint64_t successes = 0;
        std::uint64_t retries = 0;
    };
    static constexpr std::size_t window_seconds = 10;

    [[nodiscard]] std::int64_t current_second() const;
    second_counts& current_second_counts();
    [[nodiscard]] double remaining_budget_locked() const;
    [[nodiscard]] retry_refusal find_rule_refusal(const failed_attempt& attempt) const;

    const time_source& clock_;
    mutable std::mutex mutex_;
    retry_options options_;
    std::array<second_counts, window_seconds> counts_;
};

}  // namespace teaselpitch
