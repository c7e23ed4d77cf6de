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

/// Observations of one run.
struct load_result {
    history recorded;
    history_time started = 0;
    history_time ended = 0;  ///< Scheduled end of the arrivals.
    std::vector<target_fault> faults;
    std::set<std::string> ejected;  ///< Targets that the status of any node listed as ejected.
};

/// Generates the load, injects the faults and then collects the executions. Returns an error if a target or a
/// fault listener doesn't respond, because the history would be incomplete.
absl::StatusOr<load_result> run_load(const load_options& options, const std::vector<scheduled_fault>& faults);

}  // namespace teaselpitch
