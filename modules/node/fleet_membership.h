#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "drivers/peer/datagram_socket.h"
#include "drivers/peer/peer_pool.h"
#include "modules/node/node_context.h"
#include "servers/membership/membership.h"
#include "servers/membership/state_sync.h"
#include "servers/membership/target_registry.h"

namespace teaselpitch {

struct fleet_hooks {
    std::function<void()> nodes_changed;
    /// A datagram of another node was received.
    std::function<void()> datagram_received;
    std::function<void(const std::string& service)> targets_changed;
    /// Another node knows that a target of this node has departed.
    std::function<void(const target_identity&)> local_target_departed;
    std::function<void(const wire::VerdictFact&)> verdict_received;
    std::function<void(const wire::QuarantineFact&)> quarantine_received;
    std::function<void(const wire::CrashFact&)> crash_received;
    std::function<void(const wire::SuccessFact&)> success_received;
};

/// Runs this node's side of the fleet membership: connects the membership protocol, the target registry and
/// their anti-entropy to a datagram socket and to the peer connections. Control thread only.
class fleet_membership {
public:
    fleet_membership(boost::asio::any_io_executor executor, node_context& context, peer_pool& peers,
                     fleet_hooks hooks);

    // Commands.
    absl::Status start();
    /// Must be called about every 50 ms.
    void on_tick();
    /// Renews the announcements of the local targets. Must be called every second.
    void renew_targets();
    void on_local_target(const managed_target_fact& fact);
    void set_table_version(std::uint64_t version) { send(members_.set_table_version(version)); }
    void set_draining() { members_.set_draining(true); }
    void leave();
    void add_seeds(std::span<const endpoint> seeds) { members_.add_seeds(seeds); }
    void gossip(const wire::Fact& fact);
    /// Records whether a peer could be reached directly.
    void on_direct_result(std::string_view node, bool reached);
    /// Handles both kinds of anti-entropy requests, groups_method and facts_method.
    absl::StatusOr<std::string> answer_sync(std::string_view method, std::string_view payload);

    // Queries.
    [[nodiscard]] node_directory directory() const;
    /// Returns this node first, then all other known nodes, running or stopped.
    [[nodiscard]] std::vector<member> members() const;
    [[nodiscard]] const membership& membership_view() const { return members_; }
    [[nodiscard]] std::vector<registered_target> targets_of(const std::string& service) const;
    /// Returns the number of nodes that run or may be partitioned, including this one. Nodes that left
    /// gracefully are not counted.
    [[nodiscard]] std::size_t possible_node_count() const;
    /// Returns the number of alive nodes that are not suspected, including this one.
    [[nodiscard]] std::size_t confirmed_node_count() const;
    [[nodiscard]] std::size_t target_count() const { return targets_.size(); }

    static constexpr std::string_view groups_method = "sync_groups";
    static constexpr std::string_view facts_method = "sync_facts";

private:
    void send(const membership_output& output);
    void on_target_change(const target_view& view);
    void on_departed_announced(const std::string& node, const wire::Fact& departure);
    void send_departures();
    void on_member_change(const member_change& change);
    awaitable<void> run_anti_entropy(endpoint peer);

    boost::asio::any_io_executor executor_;
    node_context& context_;
    peer_pool& peers_;
    const fleet_hooks hooks_;
    target_registry targets_;
    membership members_;
    state_sync sync_;
    datagram_socket socket_;
    std::vector<std::string> started_nodes_;  ///< New incarnations of nodes since the last tick.
    std::vector<wire::Fact>
        pending_departures_;  ///< Departures to send to the nodes that guarded the targets.
};

}  // namespace teaselpitch
