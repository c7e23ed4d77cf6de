#pragma once

#include <chrono>

#include "core/clock.h"

namespace teaselpitch {

/// Times of a planned stop. All requests have an answer by answer_deadline, and the process has ended by
/// exit_by.
struct drain_schedule {
    /// Requests that arrive later are accepted only if their own deadline ends before answer_deadline.
    steady_time accept_until{};
    steady_time answer_deadline{};
    steady_time exit_by{};

    /// Returns true when a request that arrives now ends before the node does, or arrived early enough for
    /// its target to finish it.
    [[nodiscard]] bool accepts(steady_time now, steady_time request_deadline) const;
};

/// Plans the stop of a node that must end by itself within `limit`.
drain_schedule plan_drain(steady_time start, std::chrono::milliseconds limit);

/// Plans the stop of a node whose process is killed at `kill_limit` after the start.
drain_schedule plan_drain_before_kill(steady_time start, std::chrono::milliseconds kill_limit);

}  // namespace teaselpitch
