#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "core/clock.h"

namespace teaselpitch {

/// The faults that a stand-in target shows; steered by POST /_faults.
struct fault_plan {
    double slow_factor = 1;             ///< Multiplies the service time.
    double error_rate = 0;              ///< Share of work that is answered with status 500.
    bool hang = false;                  ///< Work gets no answer.
    bool probe_ok = false;              ///< Probes succeed whatever happens to work.
    std::string crash_marker;           ///< Value of X-Crash-Marker that crashes the target.
    std::int64_t crash_ms = 1000;       ///< Time without a listener after a crash.
    bool break_answers = false;         ///< Answers are cut half-way.
    bool stop_accepting = false;        ///< New connections are refused.
    std::int64_t flap_period_ms = 0;    ///< Faults of work are on and off for this long each; 0 is always on.
    bool silent = false;                ///< Connections that are open when this is set get no answers.
    steady_time since = steady_time{};  ///< Start of the first flap period.

    /// True when the faults of work apply at this time.
    [[nodiscard]] bool active(steady_time now) const;
};

/// Changes the values that a JSON object names; {"reset":true} starts from a plan without faults. Nothing
/// changes when a key is unknown or a value has the wrong type or range.
absl::Status update_fault_plan(fault_plan& plan, std::string_view json, steady_time now);

/// The plan as a JSON object.
std::string format_fault_plan(const fault_plan& plan);

}  // namespace teaselpitch
