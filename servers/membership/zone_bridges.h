#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "servers/membership/member_table.h"

namespace teaselpitch {

/// Bridges of one availability zone other than this node's.
struct remote_zone {
    std::string name;
    std::vector<const member*> bridges;  ///< Not empty; the preferred one first.
};

/// The nodes that carry membership traffic between availability zones.
///
/// Each zone has `count` bridges, chosen by rendezvous hashing, so that all nodes with the same view choose
/// the same ones without a message. A bridge that is suspected, drains or stops is replaced by the next node
/// of its zone at once. Traffic between zones therefore depends on the number of zones and not on the number
/// of nodes.
class zone_bridges {
public:
    explicit zone_bridges(std::size_t count) : count_(count) {}

    // Commands.
    /// Chooses the bridges again. The pointers in `running` must stay valid until the next call.
    void update(const member& self, std::span<member* const> running);

    // Queries.
    /// Returns whether this node is a bridge of its own zone.
    [[nodiscard]] bool is_bridge() const { return is_bridge_; }
    /// Returns the other zones that have a running member.
    [[nodiscard]] const std::vector<remote_zone>& remote_zones() const { return remote_zones_; }
    /// Returns the bridge of another zone that follows this node on the ring of all bridges, or null. Each
    /// bridge without a neighbour in its own zone is the next one of some other bridge.
    [[nodiscard]] const member* next_on_ring() const { return next_on_ring_; }
    /// Returns the running members of this node's zone.
    [[nodiscard]] const std::vector<const member*>& zone_members() const { return zone_members_; }
    /// Returns the running members of all other zones.
    [[nodiscard]] const std::vector<const member*>& remote_members() const { return remote_members_; }

private:
    std::size_t count_;
    bool is_bridge_ = false;
    const member* next_on_ring_ = nullptr;
    std::vector<remote_zone> remote_zones_;
    std::vector<const member*> zone_members_;
    std::vector<const member*> remote_members_;
};

}  // namespace teaselpitch
