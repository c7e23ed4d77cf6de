#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <vector>

#include "absl/status/status.h"
#include "drivers/http/admin_server.h"
#include "drivers/settings/settings_file.h"
#include "drivers/threads/shard_group.h"
#include "modules/node/admin_api.h"
#include "modules/node/control_plane.h"
#include "modules/node/node_context.h"
#include "modules/node/node_shard.h"

namespace teaselpitch {

/// One node: the tasks of the control thread, and the shards with their threads.
class node {
public:
    node(const node_settings& settings, settings_file& file, node_platform platform, const time_source& clock,
         std::uint64_t incarnation);
    node(const node&) = delete;
    node& operator=(const node&) = delete;
    ~node();

    /// Starts the listeners and blocks until the node has drained after SIGTERM, SIGINT or a drain request.
    /// SIGHUP or a change of the settings file reloads the settings. Fails when a listener cannot be started.
    absl::Status run();

private:
    absl::Status start_shards();
    void request_drain();
    awaitable<void> watch_signals();
    awaitable<void> watch_settings();
    admin_server_options admin_options(const endpoint& listen, std::string_view listener);
    void reload_settings(std::string_view reason);
    awaitable<void> drain();
    /// Cancels the timer when all shards have drained.
    void start_shard_drains(const std::shared_ptr<boost::asio::steady_timer>& all_finished);
    void end_exchanges();
    void set_caller_limits(const caller_limits& limits);
    control_handler make_control_handler();
    [[nodiscard]] choice_or_refusal<route_choice> choose_holder(const request_head& head) const;

    const node_settings settings_;
    settings_file& settings_file_;
    const node_platform platform_;
    boost::asio::io_context control_io_{1};
    node_context context_;
    control_plane control_plane_;
    admin_api admin_api_;
    admin_server admin_server_;
    std::unique_ptr<admin_server> readiness_server_;  ///< Null unless the platform's store is configured.
    shard_group shard_threads_;
    std::vector<std::unique_ptr<node_shard>> node_shards_;
    bool drain_requested_ = false;
};

}  // namespace teaselpitch
