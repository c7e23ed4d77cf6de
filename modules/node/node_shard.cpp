#include "modules/node/node_shard.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

#include "core/event_log.h"
#include "drivers/http/listen_probe.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

// A live listener on the same instance accepts within milliseconds, unless the instance is overloaded.
constexpr std::chrono::milliseconds probe_timeout = 300ms;
constexpr std::chrono::milliseconds probe_interval = 60ms;
// One more probe after a lost answer, because each costs the target a new connection. A process that ends
// even later is recognised by the announcement of its successor.
constexpr std::chrono::milliseconds watch_time = probe_interval;

caller_server_options caller_options(node_context& context) {
    const node_settings& settings = context.settings;
    caller_server_options options;
    options.listen = settings.caller_listen;
    options.reuse_port = true;
    options.node = settings.name;
    options.limits.max_header_bytes = static_cast<std::uint32_t>(settings.max_header_bytes);
    options.limits.max_body_bytes = settings.max_body_bytes;
    options.dialect = context.dialect;
    options.memory = context.resources.memory();
    options.connections = context.resources.connections();
    options.read_ahead_bytes = context.resources.read_ahead_bytes();
    options.socket_buffer_bytes = context.resources.socket_buffer_bytes();
    if (options.memory != nullptr) {
        // The longest write has 128 KB (a held answer): 13 KB a second, a hundredth of the slowest link.
        options.write_timeout = std::chrono::seconds(10);
    }
    return options;
}

ingress_options ingress_options_of(node_context& context) {
    const node_settings& settings = context.settings;
    ingress_options options;
    options.memory = context.resources.memory();
    options.default_timeout = settings.default_timeout;
    options.replay_bytes = context.resources.read_ahead_bytes();
    options.max_buffered_answer_bytes = settings.held_answer_bytes;
    options.free_slot_hops = settings.free_slot_hops;
    options.caller_service = settings.local_target ? settings.local_target->service : std::string();
    return options;
}

std::string_view to_string(peer_limit limit) {
    switch (limit) {
        case peer_limit::connections:
            return "connections";
        case peer_limit::memory:
            return "memory";
        case peer_limit::time:
            return "time";
    }
    return "unknown";
}

peer_server_options peer_options(node_context& context) {
    peer_server_options options;
    options.listen = context.settings.peer_listen;
    options.stream_window_bytes = context.resources.stream_window_bytes();
    options.reuse_port = true;
    options.max_connections = context.resources.peer_connections();
    options.memory = context.resources.peer_memory();
    options.limit_met = [&metrics = context.metrics](peer_limit limit) {
        metrics.count_listener_limit("peer", to_string(limit));
    };
    return options;
}

}  // namespace

/// Handles the exchanges that end at this node. Keyed requests go to the claim manager, all others to the
/// gate.
class node_shard::local_exchange_handler final : public exchange_handler {
public:
    local_exchange_handler(gate& local_gate, const shard_hooks& hooks) : gate_(local_gate), hooks_(hooks) {}

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override {
        if (hooks_.run_keyed_request && head.non_idempotent && !head.idempotency_key.empty()) {
            return hooks_.run_keyed_request(gate_, head, body, writer);
        }
        return gate_.exchange(head, body, writer);
    }

private:
    gate& gate_;
    const shard_hooks& hooks_;
};

node_shard::node_shard(boost::asio::any_io_executor executor, node_context& context, shard_hooks hooks)
    : executor_(executor),
      context_(context),
      hooks_(std::move(hooks)),
      router_(context),
      peers_(executor, context.clock,
             {.bind_address = context.settings.bind_address.value_or(""),
              .ping_idle = context.settings.ping_idle,
              .ping_deadline = context.settings.ping_deadline,
              .stream_window_bytes = context.resources.stream_window_bytes(),
              .on_unresponsive_connection = [this](const endpoint& peer) { on_silent_connection(peer); }}),
      gate_(context.clock, context.next_ticket, make_gate_hooks(),
            {.held_answer_bytes = context.settings.held_answer_bytes}),
      local_handler_(std::make_unique<local_exchange_handler>(gate_, hooks_)),
      peer_handler_(context, *local_handler_,
                    [this](const endpoint& peer, const request_head& head, body_reader& body,
                           response_writer& writer) { return peers_.exchange(peer, head, body, writer); }),
      ingress_(context.clock, ingress_options_of(context), make_ingress_hooks()),
      caller_server_(executor, caller_options(context), ingress_, context.clock,
                     [this] { return new_request_id(); }),
      peer_server_(executor, peer_options(context), peer_handler_, hooks_.handle_control_call,
                   context.clock) {}

node_shard::~node_shard() = default;

absl::Status node_shard::start() {
    const absl::StatusOr<endpoint> callers = caller_server_.start();
    if (!callers.ok()) {
        return callers.status();
    }
    return peer_server_.start().status();
}

awaitable<void> node_shard::drain() {
    using namespace boost::asio::experimental::awaitable_operators;
    // The caller server is drained first: its exchanges may still use the peer connections and the local
    // gate.
    co_await caller_server_.drain();
    co_await peer_server_.drain();
    peers_.close();
}

gate_hooks node_shard::make_gate_hooks() {
    gate_hooks hooks;
    hooks.find_target = [this](std::string_view name) -> std::shared_ptr<guarded_target> {
        const std::shared_ptr<managed_target> target = context_.targets.find(name);
        // The aliasing pointer keeps the whole managed target alive while a request uses its guarded target.
        return target ? std::shared_ptr<guarded_target>(target, &target->guarded()) : nullptr;
    };
    hooks.is_quarantined = [this](const request_head& head) {
        return context_.targets.quarantine().is_quarantined(head.fingerprint);
    };
    hooks.is_suspect = [this](const request_head& head, const guarded_target& target) {
        return context_.targets.is_suspect(head, target);
    };
    hooks.has_retry_budget = [this](const request_head& head, const guarded_target& target) {
        return context_.targets.has_retry_budget(head, target);
    };
    hooks.count_arrival = [this](const request_head& head, const guarded_target& target) {
        return context_.targets.count_arrival(head, target);
    };
    hooks.send = [this](const guarded_target& target, const request_head& head, body_reader& body,
                        response_writer& writer, const write_permission& permission) {
        return send_to_target(target, head, body, writer, permission);
    };
    hooks.run_started = [this](const gate_run& run) { context_.targets.on_run_started(run); };
    hooks.run_ended = [this](const gate_run_end& end) {
        context_.metrics.count_gate_run(end.run.head.service, end.head_latency);
        context_.targets.on_run_ended(end);
    };
    hooks.refused = [this](const request_head& head, const exchange_result& result) {
        context_.metrics.count_gate_refusal(head.service, result.error);
    };
    return hooks;
}

ingress_hooks node_shard::make_ingress_hooks() {
    ingress_hooks hooks;
    hooks.check_ready = [this] { return router_.check_ready(); };
    hooks.answer_deadline = [this]() -> std::optional<steady_time> {
        const std::optional<drain_schedule> schedule = context_.stop_schedule();
        return schedule ? std::optional(schedule->answer_deadline) : std::nullopt;
    };
    hooks.admit_while_stopping = [this](const request_head& head) {
        return router_.admit_while_stopping(head);
    };
    hooks.check_account = [this](const request_head& received, const route_decision& route,
                                 request_head& head) { return router_.check_account(received, route, head); };
    hooks.find_route = [this](const request_head& head) { return router_.find_route(head); };
    hooks.admit = [this](const request_head& head) { return router_.admit(head); };
    hooks.quota_of = [this](const request_head& head) { return context_.quotas.quota_of(head.account); };
    hooks.admit_account = [this](const request_head& head, const account_quota& quota) {
        return context_.quotas.admit(head.account, quota, head.deadline);
    };
    hooks.return_token = [this](const request_head& head, steady_time token_expires_at) {
        context_.quotas.return_token(head.account, token_expires_at);
    };
    hooks.choose = [this](const request_head& head, std::span<const std::string> tried) {
        if (hooks_.choose_holder && head.non_idempotent && !head.idempotency_key.empty()) {
            return hooks_.choose_holder(head);
        }
        return router_.choose(head, tried);
    };
    hooks.dispatch = [this](const route_choice& choice, const request_head& head, body_reader& body,
                            response_writer& writer) { return dispatch(choice, head, body, writer); };
    hooks.may_retry = [this](const request_head& head, const exchange_result& result,
                             std::uint32_t attempts) { return router_.may_retry(head, result, attempts); };
    hooks.attempt_ended = [this](const attempt_report& report) { router_.attempt_ended(report); };
    hooks.exchange_ended = [this](const ingress_report& report) { router_.exchange_ended(report); };
    return hooks;
}

awaitable<exchange_result> node_shard::send_to_target(const guarded_target& target, const request_head& head,
                                                      body_reader& body, response_writer& writer,
                                                      const write_permission& permission) {
    const std::shared_ptr<target_client> client = target_client_for(target);
    exchange_result result = co_await client->exchange(head, body, writer, permission);
    if (result.target_crashed) {
        // A sound target may close a connection or lose an answer; it then still accepts connections.
        result.answer_lost = co_await accepts_connections(executor_, target.address(), probe_timeout);
        result.target_crashed = !result.answer_lost;
    }
    if (result.answer_lost) {
        watch_target(target);
    }
    co_return result;
}

void node_shard::watch_target(const guarded_target& target) {
    const auto [entry, added] =
        watched_until_.insert_or_assign(target.identity(), context_.clock.now() + watch_time);
    if (added) {
        boost::asio::co_spawn(executor_, probe_target(target.identity(), target.address()),
                              boost::asio::detached);
    }
}

// A process that ends may close its listener after its connections, so the target is probed again for a while
// after each lost answer.
awaitable<void> node_shard::probe_target(target_identity target, endpoint address) {
    boost::asio::steady_timer timer(executor_);
    while (context_.clock.now() < watched_until_[target]) {
        timer.expires_after(probe_interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        const bool accepts = co_await accepts_connections(executor_, address, probe_timeout);
        if (!accepts) {
            context_.targets.crashes().on_process_ended(target);
            break;
        }
    }
    watched_until_.erase(target);
}

awaitable<exchange_result> node_shard::dispatch(const route_choice& choice, const request_head& head,
                                                body_reader& body, response_writer& writer) {
    if (choice.local) {
        co_return co_await local_handler_->exchange(head, body, writer);
    }
    exchange_result result = co_await peers_.exchange(choice.peer, head, body, writer);
    if (result.error != error_kind::peer_unreachable || result.load || head.detours > 0) {
        co_return result;
    }
    hooks_.report_direct_connection(choice.node, false);
    co_return co_await detour(choice, head, body, writer, std::move(result));
}

awaitable<exchange_result> node_shard::detour(const route_choice& choice, const request_head& head,
                                              body_reader& body, response_writer& writer,
                                              exchange_result direct) {
    // A keyed request names no target, so the relay node could not determine its destination.
    const std::optional<node_address> relay = find_detour_node(choice.node);
    if (!relay || head.target.name.empty()) {
        co_return direct;
    }
    log_event(event_level::info, "detour",
              {{"request_id", head.request_id}, {"node", choice.node}, {"through", relay->identity.name}});
    request_head forwarded = head;
    forwarded.detours = 1;
    co_return co_await peers_.exchange(relay->peer, forwarded, body, writer);
}

std::optional<node_address> node_shard::find_detour_node(const std::string& avoided) const {
    // Prefers a node in the availability zone of the avoided node, because it most likely has another path to
    // it.
    const auto nodes = context_.nodes.read();
    const auto target = nodes->find(avoided);
    const node_address* best = nullptr;
    for (const auto& [name, address] : *nodes) {
        if (name == avoided || name == context_.self.name || !address.reachable) {
            continue;
        }
        const bool same_zone = target != nodes->end() && address.zone == target->second.zone;
        if (best == nullptr || same_zone) {
            best = &address;
        }
    }
    return best == nullptr ? std::nullopt : std::optional<node_address>(*best);
}

std::shared_ptr<target_client> node_shard::target_client_for(const guarded_target& target) {
    const auto known = clients_.find(target.identity());
    if (known != clients_.end()) {
        return known->second;
    }
    // Removes the unused clients of earlier target incarnations and of targets that no longer exist.
    std::erase_if(clients_, [this](const auto& entry) {
        const auto current = context_.targets.find(entry.first.name);
        return (!current || current->guarded().identity() != entry.first) && entry.second.use_count() == 1;
    });
    target_client_options options;
    options.target_name = target.identity().name;
    options.dialect = context_.dialect;
    options.idle_timeout = context_.settings.target_idle_timeout;
    options.non_idempotent_idle_timeout =
        std::min(options.idle_timeout, context_.settings.non_idempotent_idle_timeout);
    auto client = std::make_shared<target_client>(executor_, target.address(), context_.clock, options);
    clients_.emplace(target.identity(), client);
    return client;
}

void node_shard::on_silent_connection(const endpoint& peer) {
    context_.metrics.count_silent_connection();
    log_event(event_level::warning, "silent_connection", {{"peer", to_string(peer)}, {"action", "replaced"}});
}

std::string node_shard::new_request_id() {
    // The node name and incarnation make the id unique in the fleet and across restarts.
    return fmt::format("{}-{:x}-{}", context_.self.name, context_.self.incarnation,
                       context_.next_request_number.fetch_add(1, std::memory_order_relaxed));
}

}  // namespace teaselpitch
