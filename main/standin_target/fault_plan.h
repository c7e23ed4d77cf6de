#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "core/clock.h"

namespace teaselpitch {

/// The faults that a stand-in target injects, set by POST /_faults.
struct fault_plan {
    double slow_factor = 1;       ///< Multiplies the service time.
    double error_rate = 0;        ///< Fraction of work requests that are answered with status 500, 0 to 1.
    bool hang = false;            ///< Work requests are never answered.
    bool probes_succeed = false;  ///< Health probes succeed even while work requests fail.
    std::string crash_marker;     ///< A request with this X-Crash-Marker value crashes the target.
    std::int64_t restart_delay_ms = 1000;  ///< Time from a crash until the target listens again.
    bool truncate_answers = false;         ///< Answers are aborted after half of the body.
    bool stop_accepting = false;           ///< New connections are refused.
    /// Work faults are on for this time, then off for this time, and so on; 0 means always on.
    std::int64_t flap_period_ms = 0;
    /// Requests on connections that were open when this was set are never answered.
    bool unresponsive = false;
    steady_time flap_start = steady_time{};  ///< Start of the first flap period.

    /// Returns whether the faults of work requests apply at this time.
    [[nodiscard]] bool work_faults_active(steady_time now) const;
};

/// Sets the fields that a JSON object contains; {"reset":true} starts from a plan without faults. Returns
/// InvalidArgument and changes nothing when a key is unknown or a value has the wrong type or range.
absl::Status update_fault_plan(fault_plan& plan, std::string_view json, steady_time now);

/// Formats the plan as a JSON object.
std::string format_fault_plan(const fault_plan& plan);

}  // namespace teaselpitch
