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
    double budget_share = 0.10;  ///< Retries per recent success; column retry_budget_pct of the table.
    double floor_per_s = 1.0;    ///< Retries per second that are allowed without any success.
    std::uint32_t max_attempts = 3;
    std::size_t replay_limit = 64 * 1024;  ///< Bytes of the request body that the ingress keeps.
};

/// A failed attempt, as the ingress saw it.
struct failed_attempt {
    error_kind error = error_kind::internal;
    execution_state execution = execution_state::unknown;
    bool head_written = false;  ///< The caller already has the head of this attempt's answer.
    bool non_idempotent = false;
    std::uint32_t attempts = 1;       ///< Attempts made so far, this one included.
    std::uint64_t body_consumed = 0;  ///< Bytes of the request body that were read from the caller.
    steady_time deadline{};
    /// False when no target got the request, so that another attempt adds no load.
    bool reached_target = true;
};

/// Why a request is not sent again.
enum class retry_refusal : std::uint8_t {
    none,  ///< The request is sent again.
    answer_started,
    pointless,     ///< Another attempt would get the same answer, or nobody waits for it.
    may_have_run,  ///< The route is not idempotent and there is no proof of not-run.
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

/// Decides whether a failed attempt of one service is sent again and keeps the service's retry budget.
/// One object per service and node; safe to use from several threads.
class retry_policy {
public:
    retry_policy(const time_source& clock, retry_options options);

    /// Counts an exchange that ended with a whole answer.
    void on_success();

    /// Decides about one failed attempt; a granted retry is taken from the budget.
    retry_decision on_failure(const failed_attempt& attempt);

    /// Replaces the budget share when the table changes.
    void set_budget_share(double share);

    /// Retries that are left in the budget now.
    [[nodiscard]] double budget() const;

private:
    struct second_count {
        std::int64_t second = -1;
        std::uint64_t successes = 0;
        std::uint64_t retries = 0;
    };
    static constexpr std::size_t window_seconds = 10;

    [[nodiscard]] std::int64_t current_second() const;
    second_count& current_count();
    [[nodiscard]] double budget_locked() const;
    [[nodiscard]] retry_refusal refusal_by_rule(const failed_attempt& attempt) const;

    const time_source& clock_;
    mutable std::mutex mutex_;
    retry_options options_;
    std::array<second_count, window_seconds> counts_;
};

}  // namespace teaselpitch
