#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "core/wire/control.pb.h"
#include "modules/node/routing_table.h"
#include "servers/admission/account_limiter.h"
#include "servers/admission/share_allocator.h"

namespace teaselpitch {

/// A demand report for the node that allocates the shares of a limit (its home node).
struct outgoing_limit_report {
    std::string home;  ///< Name of the home node.
    wire::LimitReport report;
};

/// Enforces the rate limits of client accounts on one node. The node applies its own share of each limit, and
/// grants shares to the other nodes for the limits whose home node it is.
class account_limits {
public:
    using table_hook = std::function<std::shared_ptr<const routing_table>()>;

    account_limits(const time_source& clock, node_identity self, table_hook current_table);

    // Commands for any shard.
    /// Decides whether a request is within the rate limit of its account. Requests without an account, or of
    /// an account without a table row, are not limited.
    limit_decision admit(std::string_view account, std::string_view service);

    // Commands for the control thread.
    void on_nodes(std::vector<std::string> alive, std::size_t known);
    /// Returns the demand reports to send to other nodes. Reports whose home node is this node are processed
    /// locally. Must be called every 100 ms.
    std::vector<outgoing_limit_report> on_tick();
    wire::LimitGrant on_report(const wire::LimitReport& report);
    void on_grant(const wire::LimitGrant& grant);

private:
    [[nodiscard]] double limit_of(const limit_key& key) const;

    const node_identity self_;
    const table_hook current_table_;
    account_limiter limiter_;
    share_allocator allocator_;
    std::vector<std::string> alive_nodes_;
};

}  // namespace teaselpitch
