#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/status.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/target_client.h"
#include "drivers/peer/peer_pool.h"
#include "drivers/peer/peer_server.h"
#include "modules/node/node_context.h"
#include "modules/node/peer_exchange_handler.h"
#include "modules/node/request_router.h"
#include "modules/proxy/gate.h"
#include "modules/proxy/ingress.h"

namespace teaselpitch {

/// Callbacks of a shard into the node.
struct shard_hooks {
    /// Handles control calls of other nodes.
    control_handler handle_control_call;
    /// Runs a keyed request at this node, the holder of its key; null when at-most-once execution is
    /// disabled.
    std::function<awaitable<exchange_result>(gate&, const request_head&, body_reader&, response_writer&)>
        run_keyed_request;
    /// Returns the route to the holder of a keyed request's slot.
    std::function<choice_or_refusal<route_choice>(const request_head&)> choose_holder;
    /// Called with the result of a direct connection to a peer node.
    std::function<void(const std::string& node, bool reached)> report_direct_connection;
};

/// The listeners, connections and handlers that run on one thread.
class node_shard {
public:
    node_shard(boost::asio::any_io_executor executor, node_context& context, shard_hooks hooks);
    node_shard(const node_shard&) = delete;
    node_shard& operator=(const node_shard&) = delete;
    ~node_shard();

    // Commands. All must run on the shard's executor; start() may also be called before it runs.
    absl::Status start();
    /// Completes the requests in flight, and returns when every connection is closed.
    awaitable<void> drain();
    /// Ends the requests of callers that have no answer yet.
    void end_exchanges() { caller_server_.terminate_exchanges(); }
    void set_caller_limits(const caller_limits& limits) { caller_server_.set_limits(limits); }
    peer_pool& peers() { return peers_; }

private:
    class local_exchange_handler;

    gate_hooks make_gate_hooks();
    ingress_hooks make_ingress_hooks();
    awaitable<exchange_result> send_to_target(const guarded_target& target, const request_head& head,
                                              body_reader& body, response_writer& writer,
                                              const write_permission& permission);
    awaitable<exchange_result> dispatch(const route_choice& choice, const request_head& head,
                                        body_reader& body, response_writer& writer);
    awaitable<exchange_result> detour(const route_choice& choice, const request_head& head, body_reader& body,
                                      response_writer& writer, exchange_result direct);
    /// Finds out whether the process of a target that lost an answer ends.
    void watch_target(const guarded_target& target);
    awaitable<void> probe_target(target_identity target, endpoint address);
    [[nodiscard]] std::optional<node_address> find_detour_node(const std::string& avoided) const;
    std::shared_ptr<target_client> target_client_for(const guarded_target& target);
    void on_silent_connection(const endpoint& peer);
    std::string new_request_id();

    boost::asio::any_io_executor executor_;
    node_context& context_;
    const shard_hooks hooks_;
    request_router router_;
    peer_pool peers_;
    gate gate_;
    std::unique_ptr<local_exchange_handler> local_handler_;
    peer_exchange_handler peer_handler_;
    ingress ingress_;
    caller_server caller_server_;
    peer_server peer_server_;
    std::map<target_identity, std::shared_ptr<target_client>> clients_;
    std::map<target_identity, steady_time> watched_until_;  ///< Targets that lost an answer.
};

}  // namespace teaselpitch
