#include "servers/admission/drain_schedule.h"

#include <algorithm>

namespace teaselpitch {
namespace {

using std::chrono::milliseconds;

// Time for the last answers to reach their callers before the process ends.
constexpr milliseconds answer_margin{450};
// Callers learn of the stop within this time. A request that arrives later may still run when the node ends.
constexpr milliseconds max_accept_time{3'000};
// The process ends in the last of these parts of the time before a kill.
constexpr int kill_limit_parts = 12;
// Running requests may use this many of the parts at least.
constexpr int guaranteed_parts = 10;

}  // namespace

bool drain_schedule::accepts(steady_time now, steady_time request_deadline) const {
    return now < accept_until || request_deadline <= answer_deadline;
}

drain_schedule plan_drain(steady_time start, milliseconds limit) {
    drain_schedule result;
    result.exit_by = start + limit;
    result.answer_deadline = start + std::max(limit - answer_margin, limit / 2);
    result.accept_until = start + std::min(max_accept_time, limit / 2);
    return result;
}

drain_schedule plan_drain_before_kill(steady_time start, milliseconds kill_limit) {
    const milliseconds part = kill_limit / kill_limit_parts;
    drain_schedule result = plan_drain(start, part * (kill_limit_parts - 1));
    result.accept_until = start + std::min(max_accept_time, kill_limit / 2);
    // A short limit leaves less time than the margin.
    result.answer_deadline =
        std::max(result.answer_deadline, start + part * guaranteed_parts + part / kill_limit_parts);
    return result;
}

}  // namespace teaselpitch
