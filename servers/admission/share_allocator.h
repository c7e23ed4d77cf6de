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

/// The home's side of a limit: divides it among the nodes by their demand.
///
/// The home of a key is chosen by rendezvous hashing among the live nodes. The grants that are valid at one
/// time never add up to more than the granted part of the limit, scaled by the share of the known nodes that
/// are alive: so groups of nodes that cannot hear each other, each with its own home, stay within the limit
/// together. A new home does not know the grants of the former one: for the length of one grant after a
/// change of home the sum may reach twice the limit. Used by the control thread only.
class share_allocator {
public:
    /// The limit of a key from the table; a key without a row gets the default of the table.
    using limit_hook = std::function<double(const limit_key&)>;

    share_allocator(const time_source& clock, const share_options& options, limit_hook limit_of);

    share_grant on_report(const node_identity& from, const demand_report& report);

    void on_fleet_size(const fleet_size& size);

    /// Forgets the nodes whose grants have expired; call it about once a second.
    void on_tick();

    [[nodiscard]] std::size_t entries() const { return records_.size(); }

private:
    struct node_share {
        double demand = 0;
        double outstanding = 0;  ///< The largest share that the node may still use.
        steady_time expires{};
    };

    struct record {
        absl::flat_hash_map<std::string, node_share> nodes;
        double outstanding = 0;  ///< Sum over the nodes.
        double level = 0;        ///< Demands up to this level are met in full.
        double surplus = 0;      ///< Additional share for each unit of met demand.
        steady_time levelled_at{};
    };

    [[nodiscard]] double capacity_of(const limit_key& key) const;
    static void level(record& entry, double capacity, steady_time now);
    void forget_expired(record& entry, steady_time now);

    const time_source& clock_;
    const share_options options_;
    const limit_hook limit_of_;
    fleet_size size_;
    absl::flat_hash_map<limit_key, record> records_;
};

/// The node that keeps the record of a key: the top one by rendezvous hashing; empty without nodes.
std::string home_of(const limit_key& key, std::span<const std::string> alive_nodes);

}  // namespace teaselpitch
