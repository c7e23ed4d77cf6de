#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/wire/gossip.pb.h"
#include "modules/node/node_context.h"
#include "servers/routing/ejector.h"

namespace teaselpitch {

/// What changed in a view of the fleet.
struct fleet_change {
    bool nodes = false;
    std::set<std::string> services;  ///< Services whose targets changed.
};

/// This node's view of the other nodes and their targets. Control thread only.
class fleet_state {
public:
    /// A node whose heartbeat has not advanced for this long is dead in this view.
    static constexpr std::chrono::milliseconds heartbeat_limit{3'000};

    fleet_state(const time_source& clock, wire::NodeFact self);

    // Commands.
    void set_table_version(std::uint64_t version) { self_.set_table_version(version); }
    void set_draining() { self_.set_draining(true); }
    fleet_change on_own_target(const kept_target_fact& fact);
    fleet_change merge(const wire::FullState& state);
    /// Counts the own heartbeat and declares silent nodes dead.
    fleet_change on_tick();

    // Queries.
    [[nodiscard]] wire::FullState full_state() const;
    [[nodiscard]] std::vector<wire::NodeFact> nodes() const;
    [[nodiscard]] std::vector<wire::TargetFact> targets() const;
    [[nodiscard]] node_directory directory() const;
    [[nodiscard]] std::vector<registered_target> targets_of(const std::string& service) const;

private:
    struct node_entry {
        wire::NodeFact fact;
        steady_time advanced_at;
        bool alive = true;
    };
    struct target_entry {
        wire::TargetFact fact;
        steady_time ready_since;
    };

    void merge_node(const wire::NodeFact& fact, fleet_change& change);
    void merge_target(const wire::TargetFact& fact, fleet_change& change);
    [[nodiscard]] bool is_live(const wire::TargetFact& fact) const;

    const time_source& clock_;
    wire::NodeFact self_;
    std::map<std::string, node_entry> nodes_;
    std::map<std::string, target_entry> targets_;
    std::uint64_t next_sequence_ = 1;
};

}  // namespace teaselpitch
