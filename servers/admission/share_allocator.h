#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <functional>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/identity.h"
#include "servers/admission/share_messages.h"

namespace teaselpitch {

/// Runs on the home node of a limit and divides the limit among the nodes by max-min fairness of their
/// demand.
///
/// The home node of a key is chosen by rendezvous hashing among the alive nodes. The sum of the grants that
/// are valid at any time stays within the grantable part of the limit, scaled by the fraction of known nodes
/// that are alive. Groups of nodes separated by a network partition, each with its own home node, therefore
/// stay within the limit together. A new home node has no record of the grants of the previous one, so the
/// sum may reach twice the limit for the validity of one grant after a change. Used by the control thread
/// only.
class share_allocator {
public:
    /// Returns the limit of a key; a key without a row gets the default of the table.
    using limit_lookup = std::function<double(const limit_key&)>;

    share_allocator(const time_source& clock, const share_options& options, limit_lookup lookup_limit);

    share_grant on_report(const node_identity& from, const demand_report& report);

    void on_fleet_size(const fleet_size& size);

    /// Removes the nodes whose grants have expired. Must be called about once a second.
    void on_tick();

    [[nodiscard]] std::size_t entry_count() const { return shares_by_key_.size(); }

private:
    struct node_share {
        double demand = 0;
        double outstanding_share = 0;  ///< Largest share that the node may still be using.
        steady_time expires_at{};
    };

    struct key_shares {
        absl::flat_hash_map<std::string, node_share> nodes;
        double outstanding_share = 0;  ///< Sum of the outstanding shares of all nodes.
        double fair_level = 0;         ///< Max-min fair share: demands up to this value are met in full.
        double surplus_ratio = 0;      ///< Additional share per unit of met demand.
        steady_time level_computed_at{};
    };

    [[nodiscard]] double grantable_limit(const limit_key& key) const;
    static void compute_fair_level(key_shares& entry, double capacity, steady_time now);
    void remove_expired_shares(key_shares& entry, steady_time now);

    const time_source& clock_;
    const share_options options_;
    const limit_lookup lookup_limit_;
    fleet_size size_;
    absl::flat_hash_map<limit_key, key_shares> shares_by_key_;
};

/// Returns the home node of a key, by rendezvous hashing; empty when there are no nodes.
std::string select_home_node(const limit_key& key, std::span<const std::string> alive_nodes);

}  // namespace teaselpitch
