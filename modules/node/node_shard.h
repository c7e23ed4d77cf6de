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
#include "modules/node/peer_entry.h"
#include "modules/node/request_router.h"
#include "modules/proxy/gate.h"
#include "modules/proxy/ingress.h"

namespace teaselpitch {

/// What one shard needs besides the shared state.
struct shard_hooks {
    /// Answers control calls of other nodes.
    control_handler control;
    /// Runs a keyed request at the holder of its key; null without at-most-once execution.
    std::function<awaitable<exchange_result>(gate&, const request_head&, body_reader&, response_writer&)>
        run_keyed;
    /// Chooses the holder of a keyed request.
    std::function<choice_or_refusal<route_choice>(const request_head&)> choose_holder;
    /// Told whether a peer node could be reached directly.
    std::function<void(const std::string& node, bool reached)> direct_result;
};

/// The listeners, connections and handlers that run on one thread.
class node_shard {
public:
    node_shard(boost::asio::any_io_executor executor, node_context& context, shard_hooks hooks);
    node_shard(const node_shard&) = delete;
    node_shard& operator=(const node_shard&) = delete;
    ~node_shard();

    // Commands; all run on the shard's executor, start() also before it runs.
    absl::Status start();
    /// Answers what is in flight and completes when every connection is closed.
    awaitable<void> drain();
    /// Ends the callers' requests that have no answer yet.
    void end_exchanges() { callers_.terminate_exchanges(); }
    void set_caller_limits(const caller_limits& limits) { callers_.set_limits(limits); }
    peer_pool& peers() { return peers_; }

private:
    class own_entry;

    gate_hooks make_gate_hooks();
    ingress_hooks make_ingress_hooks();
    awaitable<exchange_result> send_to_target(const guarded_target& target, const request_head& head,
                                              body_reader& body, response_writer& writer,
                                              const write_permission& permission);
    awaitable<exchange_result> dispatch(const route_choice& choice, const request_head& head,
                                        body_reader& body, response_writer& writer);
    awaitable<exchange_result> detour(const route_choice& choice, const request_head& head, body_reader& body,
                                      response_writer& writer, exchange_result direct);
    [[nodiscard]] std::optional<node_address> detour_node(const std::string& avoided) const;
    std::shared_ptr<target_client> client_of(const guarded_target& target);
    void on_silent_connection(const endpoint& peer);
    std::string new_request_id();

    boost::asio::any_io_executor executor_;
    node_context& context_;
    const shard_hooks hooks_;
    request_router router_;
    peer_pool peers_;
    gate gate_;
    std::unique_ptr<own_entry> own_entry_;
    peer_entry peer_entry_;
    ingress ingress_;
    caller_server callers_;
    peer_server peer_server_;
    std::map<target_identity, std::shared_ptr<target_client>> clients_;
};

}  // namespace teaselpitch
