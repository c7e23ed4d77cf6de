#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "modules/node/service_router.h"
#include "modules/node/target_manager.h"
#include "servers/admission/account_directory.h"
#include "servers/records/outcome_counters.h"
#include "servers/routing/route_index.h"
#include "servers/table/table.h"

namespace teaselpitch {

/// One version of the table with its route index and client accounts. Immutable, so it is read without a
/// lock.
class routing_table {
public:
    /// `zone` is this node's availability zone.
    routing_table(
        std::shared_ptr<const table> rows, std::string zone,
        std::shared_ptr<const account_directory> accounts = std::make_shared<const account_directory>());

    [[nodiscard]] const table& rows() const { return *rows_; }
    [[nodiscard]] const route_index& routes() const { return routes_; }
    /// Empty when the configuration has no client accounts, so that requests need no key.
    [[nodiscard]] const account_directory& accounts() const { return *accounts_; }

    /// Returns the timeout of the route's row, or else of the service's row; 0 when neither sets one.
    [[nodiscard]] std::chrono::milliseconds timeout_of(const route_match& match) const;
    [[nodiscard]] service_rules rules_of(std::string_view service) const;
    [[nodiscard]] service_admission admission_of(std::string_view service) const;
    /// Returns the latency above which the burn report counts an answer as slow.
    [[nodiscard]] std::chrono::milliseconds latency_objective_of(std::string_view service) const;

private:
    std::shared_ptr<const table> rows_;
    std::string zone_;
    std::shared_ptr<const account_directory> accounts_;  ///< Never null.
    route_index routes_;
};

}  // namespace teaselpitch
