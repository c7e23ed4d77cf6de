#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "drivers/log/log_client.h"
#include "drivers/log/log_follower.h"
#include "drivers/peer/peer_pool.h"
#include "modules/node/fleet_state.h"
#include "modules/node/node_context.h"
#include "servers/table/table_replica.h"

namespace teaselpitch {

/// Follows the log and the other nodes and keeps the shared state up to date. Everything runs on the control
/// thread, except handle_call(), which other threads use through post_control.
class control_plane {
public:
    control_plane(boost::asio::io_context& control, node_context& context);
    control_plane(const control_plane&) = delete;
    control_plane& operator=(const control_plane&) = delete;

    // Commands.
    void start();
    /// Tells the other nodes that this node and its targets leave.
    awaitable<void> announce_drain();
    void on_own_target(const kept_target_fact& fact);
    /// Answers a control call of another node; runs on the control thread.
    awaitable<absl::StatusOr<std::string>> handle_call(std::string method, std::string payload);

    // Queries.
    [[nodiscard]] const fleet_state& fleet() const { return fleet_; }
    [[nodiscard]] const table_replica& replica() const { return replica_; }
    [[nodiscard]] const log_follower& follower() const { return follower_; }

private:
    void spawn(awaitable<void> task, std::string_view name);
    awaitable<void> every(std::chrono::milliseconds period, std::function<void()> work);
    awaitable<void> exchange_state();
    awaitable<void> exchange_state_with(endpoint peer);
    [[nodiscard]] std::vector<endpoint> peers_to_ask() const;
    void on_table();
    void on_record(const wire::StoredRecord& record, const apply_result& result);
    void apply(const fleet_change& change);

    boost::asio::io_context& control_;
    node_context& context_;
    fleet_state fleet_;
    table_replica replica_;
    log_client log_;
    log_follower follower_;
    peer_pool peers_;
};

}  // namespace teaselpitch
