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
    std::function<void(const std::string& service)> targets_changed;
    std::function<void(const wire::VerdictFact&)> verdict;
    std::function<void(const wire::QuarantineFact&)> quarantine;
};

/// This node's part in the membership of the fleet: connects the membership, the target registry and their
/// anti-entropy to a socket and to the peers. Control thread only.
class fleet_membership {
public:
    fleet_membership(boost::asio::any_io_executor executor, node_context& context, peer_pool& peers,
                     fleet_hooks hooks);

    // Commands.
    absl::Status start();
    /// Called about every 50 ms.
    void on_tick();
    /// Renews the targets beside this node; called each second.
    void renew_targets();
    void on_own_target(const kept_target_fact& fact);
    void set_table_version(std::uint64_t version) { members_.set_table_version(version); }
    void set_draining() { members_.set_draining(true); }
    void leave();
    void add_seeds(std::span<const endpoint> seeds) { members_.add_seeds(seeds); }
    void gossip(const wire::Fact& fact);
    /// Result of an attempt to connect to a peer.
    void on_direct_result(std::string_view node, bool reached);
    /// Answers the two requests of an anti-entropy exchange.
    absl::StatusOr<std::string> answer_sync(std::string_view method, std::string_view payload);

    // Queries.
    [[nodiscard]] node_directory directory() const;
    /// This node first, then all known ones.
    [[nodiscard]] std::vector<member> members() const;
    [[nodiscard]] std::vector<registered_target> targets_of(const std::string& service) const;
    /// Nodes that run or may be cut off, this one included; not those that left.
    [[nodiscard]] std::size_t possible_node_count() const;
    [[nodiscard]] std::size_t target_count() const { return targets_.size(); }

    static constexpr std::string_view groups_method = "sync_groups";
    static constexpr std::string_view facts_method = "sync_facts";

private:
    void send(const membership_output& output);
    void on_member_change(const member_change& change);
    awaitable<void> synchronise(endpoint peer);

    boost::asio::any_io_executor executor_;
    node_context& context_;
    peer_pool& peers_;
    const fleet_hooks hooks_;
    target_registry targets_;
    membership members_;
    state_sync sync_;
    datagram_socket socket_;
};

}  // namespace teaselpitch
