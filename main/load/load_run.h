#pragma once

#include <set>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "main/load/detection.h"
#include "main/load/fault_schedule.h"
#include "main/load/load_options.h"
#include "modules/history/history.h"

namespace teaselpitch {

/// Everything that one run observed.
struct load_result {
    history recorded;
    history_time started = 0;
    history_time ended = 0;  ///< End of the last scheduled moment.
    std::vector<target_fault> faults;
    std::set<std::string> ejected;  ///< Targets that any node's status showed as ejected.
};

/// Runs the load and its faults, then collects the executions. Fails when a target or a fault listener does
/// not answer; the history would be incomplete.
absl::StatusOr<load_result> run_load(const load_options& options, const std::vector<scheduled_fault>& faults);

}  // namespace teaselpitch
