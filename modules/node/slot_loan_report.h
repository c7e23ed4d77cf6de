#pragma once

#include <absl/container/flat_hash_map.h>

#include <memory>
#include <string>
#include <vector>

#include "modules/node/node_metrics.h"
#include "modules/node/target_manager.h"

namespace teaselpitch {

/// Tells operators how many slots callers hold and how often slots were reclaimed. Control thread only.
class slot_loan_report {
public:
    /// Publishes the metrics, and logs one line for each target at which a slot was reclaimed or a loan
    /// refused since the last call. Must be called once a second.
    void on_second_tick(const std::vector<std::shared_ptr<managed_target>>& targets, node_metrics& metrics);

private:
    absl::flat_hash_map<std::string, slot_loan_load> reported_;  ///< By target.
};

}  // namespace teaselpitch
