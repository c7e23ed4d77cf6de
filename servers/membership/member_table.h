#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/wire/gossip.pb.h"

namespace teaselpitch {

enum class node_state : std::uint8_t { alive, suspect, dead, left };

/// State of a node as recorded by another node.
struct member {
    node_identity identity;
    std::uint64_t refutation = 0;
    node_state state = node_state::alive;
    std::string availability_zone;
    endpoint gossip;  ///< UDP endpoint for membership datagrams.
    endpoint peer;    ///< TCP endpoint of the peer server.
    std::uint16_t admin_port = 0;
    std::uint64_t table_version = 0;  ///< Highest version that the node reported.
    bool draining = false;
    steady_time state_changed_at;  ///< Time of the last change of state.
    steady_time suspect_deadline;  ///< A suspect is declared dead at this time.

    unsigned direct_failures = 0;  ///< Number of consecutive failed direct attempts.
    steady_time last_direct_failure;
    std::string last_relay;  ///< Name of the node that relayed the last successful indirect probe.

    [[nodiscard]] bool running() const { return state == node_state::alive || state == node_state::suspect; }
};

/// Channel through which a fact was received.
enum class fact_source : std::uint8_t { gossip, sync };

struct member_change {
    std::optional<node_state> previous_state;  ///< Empty for a new node or a new incarnation.
    node_state new_state = node_state::alive;
    const member* changed_member = nullptr;
};

/// Encodes a member as a fact.
wire::NodeFact to_node_fact(const member& value);
/// 64-bit hash of a node's name and incarnation, for version reports.
std::uint64_t identity_hash(const node_identity& identity);

/// Members by name. Facts about a member are ordered by incarnation, then refutation, then state. A node that
/// left is replaced only by a new incarnation. Pointers to a member stay valid until the member is removed.
class member_table {
public:
    /// Applies a fact; returns an empty optional when the fact changes nothing. A gossiped death of a member
    /// that is alive in this table only makes it suspect, so that the node can refute it. The same fact from
    /// a full exchange is ignored.
    std::optional<member_change> apply(const wire::NodeFact& fact, fact_source source, steady_time now,
                                       std::chrono::milliseconds suspicion);
    /// Makes an alive member suspect until the deadline.
    std::optional<member_change> suspect(std::string_view name, steady_time now, steady_time deadline);
    /// Declares a suspect dead.
    std::optional<member_change> declare_dead(std::string_view name, steady_time now);
    /// Removes members that have been dead or left for longer than `age`; returns their names.
    std::vector<std::string> remove_expired(steady_time now, std::chrono::milliseconds age);

    member* find(std::string_view name);
    [[nodiscard]] const member* find(std::string_view name) const;
    /// Returns the running member with this gossip endpoint, or null.
    [[nodiscard]] const member* find_by_gossip_endpoint(const endpoint& address) const;
    /// Returns the member whose identity has this hash, or null.
    member* find_by_hash(std::uint64_t hash);
    /// Alive and suspect members in unspecified order.
    [[nodiscard]] const std::vector<member*>& running() const { return running_; }
    /// Dead and left members in unspecified order.
    [[nodiscard]] const std::vector<member*>& stopped() const { return stopped_; }
    [[nodiscard]] const std::vector<member*>& suspects() const { return suspects_; }
    /// Returns the next alive member of the zone after this name on the ring of name hashes, or null when
    /// there is none.
    [[nodiscard]] const member* successor(std::string_view name, std::string_view zone) const;
    /// Returns the names of suspects whose deadline has passed.
    [[nodiscard]] std::vector<std::string> expired_suspects(steady_time now) const;

private:
    void set_state(member& value, node_state state, steady_time now);
    void add_to_indexes(member& value);
    void remove_from_indexes(member& value);

    std::unordered_map<std::string, member> members_;
    std::vector<member*> running_;
    std::vector<member*> stopped_;
    std::vector<member*> suspects_;
    // Running members by the hash of their name.
    std::map<std::uint64_t, member*> ring_;
    std::map<endpoint, member*> running_by_gossip_endpoint_;
    // Members by identity_hash(identity).
    std::unordered_map<std::uint64_t, member*> by_identity_;
};

}  // namespace teaselpitch
