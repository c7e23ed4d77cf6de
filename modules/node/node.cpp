#include "modules/node/node.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <utility>

#include "core/event_log.h"
#include "drivers/threads/cross_thread_call.h"

namespace teaselpitch {

node::node(const node_settings& settings, settings_file& file, node_platform platform,
           const time_source& clock, std::uint64_t incarnation)
    : settings_(settings),
      settings_file_(file),
      platform_(std::move(platform)),
      context_(settings_, platform_.dialect, clock, {settings_.name, incarnation},
               [this](std::function<void()> work) { boost::asio::post(control_io_, std::move(work)); }),
      control_plane_(control_io_, context_, platform_,
                     {.limits_changed = [this](const caller_limits& limits) { set_caller_limits(limits); }}),
      admin_api_(context_, control_plane_, platform_, [this] { request_drain(); }),
      admin_server_(control_io_.get_executor(), admin_options(settings_.admin_listen, "admin"),
                    [this](admin_request request) { return admin_api_.handle(std::move(request)); }),
      shard_threads_(settings_.threads) {
    if (settings_.store) {
        context_.has_configuration = false;
        readiness_server_ = std::make_unique<admin_server>(
            control_io_.get_executor(), admin_options(settings_.store->readiness_listen, "readiness"),
            [this](admin_request request) { return admin_api_.answer_readiness(std::move(request)); });
    }
    context_.target_changed = [this](const managed_target_fact& fact) {
        control_plane_.on_local_target(fact);
    };
    context_.target_crashed = [this](const std::string& service, const crash_report& crash) {
        context_.post_to_control_thread(
            [this, service, crash] { control_plane_.on_local_crash(service, crash); });
    };
}

admin_server_options node::admin_options(const endpoint& listen, std::string_view listener) {
    return {.listen = listen,
            .max_connections = context_.resources.admin_connections(),
            .max_body_bytes = settings_.admin_body_bytes,
            .socket_buffer_bytes = context_.resources.socket_buffer_bytes(),
            .limit_met = [this, listener](admin_limit limit) {
                context_.metrics.count_listener_limit(
                    listener, limit == admin_limit::connections ? "connections" : "body_size");
            }};
}

node::~node() {
    // The shard threads must end before the objects that they use are destroyed.
    shard_threads_.stop();
}

absl::Status node::run() {
    const absl::StatusOr<endpoint> admin = admin_server_.start();
    if (!admin.ok()) {
        return admin.status();
    }
    if (absl::Status started = start_shards(); !started.ok()) {
        return started;
    }
    if (absl::Status started = control_plane_.start(); !started.ok()) {
        return started;
    }
    if (readiness_server_) {
        if (const auto started = readiness_server_->start(); !started.ok()) {
            return started.status();
        }
    }
    boost::asio::co_spawn(control_io_, watch_signals(), boost::asio::detached);
    boost::asio::co_spawn(control_io_, watch_settings(), boost::asio::detached);
    log_event(event_level::info, "node_started",
              {{"node", context_.self.name},
               {"incarnation", context_.self.incarnation},
               {"zone", settings_.availability_zone},
               {"callers", to_string(settings_.caller_listen)},
               {"admin", to_string(*admin)},
               {"peers", to_string(settings_.peer_listen)},
               {"threads", settings_.threads}});
    control_io_.run();
    shard_threads_.stop();
    return absl::OkStatus();
}

absl::Status node::start_shards() {
    for (std::size_t i = 0; i < shard_threads_.size(); ++i) {
        shard_hooks hooks;
        hooks.handle_control_call = make_control_handler();
        hooks.run_keyed_request = [this](gate& local_gate, const request_head& head, body_reader& body,
                                         response_writer& writer) {
            return control_plane_.claims().run(local_gate, head, body, writer);
        };
        hooks.choose_holder = [this](const request_head& head) { return choose_holder(head); };
        hooks.report_direct_connection = [this](const std::string& peer_node, bool reached) {
            context_.post_to_control_thread(
                [this, peer_node, reached] { control_plane_.on_direct_result(peer_node, reached); });
        };
        node_shards_.push_back(std::make_unique<node_shard>(shard_threads_.context(i).get_executor(),
                                                            context_, std::move(hooks)));
        if (absl::Status started = node_shards_.back()->start(); !started.ok()) {
            return started;
        }
    }
    shard_threads_.start();
    return absl::OkStatus();
}

awaitable<void> node::watch_signals() {
    boost::asio::signal_set signals(control_io_, SIGTERM, SIGINT, SIGHUP);
    while (true) {
        const int signal = co_await signals.async_wait(boost::asio::use_awaitable);
        log_event(event_level::info, "signal", {{"number", signal}});
        if (signal == SIGHUP) {
            reload_settings("signal");
        } else {
            request_drain();
        }
    }
}

awaitable<void> node::watch_settings() {
    constexpr std::chrono::seconds interval{1};
    boost::asio::steady_timer timer(control_io_);
    while (true) {
        timer.expires_after(interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        if (settings_file_.has_changed()) {
            reload_settings("file changed");
        }
    }
}

void node::reload_settings(std::string_view reason) {
    const settings_result loaded = settings_file_.load();
    if (!loaded.errors.empty()) {
        log_event(event_level::error, "reload_refused",
                  {{"file", settings_file_.path()}, {"faults", loaded.errors.size()}});
        return;
    }
    // All settings except the log level affect existing sockets and state, so they take effect at the next
    // start.
    set_event_level(loaded.settings.log_level);
    std::string waiting;
    for (const std::string& key : changed_keys(settings_, loaded.settings)) {
        waiting += key == "log_level" ? "" : (waiting.empty() ? "" : ",") + key;
    }
    log_event(event_level::info, "settings_reloaded",
              {{"file", settings_file_.path()}, {"reason", reason}, {"at_next_start", waiting}});
}

void node::request_drain() {
    if (drain_requested_) {
        return;
    }
    drain_requested_ = true;
    boost::asio::co_spawn(control_io_, drain(), [this](std::exception_ptr) { control_io_.stop(); });
}

void node::set_caller_limits(const caller_limits& limits) {
    for (std::size_t i = 0; i < node_shards_.size(); ++i) {
        boost::asio::post(shard_threads_.context(i),
                          [this, i, limits] { node_shards_[i]->set_caller_limits(limits); });
    }
}

awaitable<void> node::drain() {
    const steady_time start = context_.clock.now();
    context_.drain_start = start;
    context_.draining = true;
    const drain_schedule schedule = context_.stop_schedule().value();
    const auto milliseconds_from_start = [start](steady_time when) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(when - start).count();
    };
    log_event(event_level::info, "drain_started",
              {{"node", context_.self.name},
               {"accept_ms", milliseconds_from_start(schedule.accept_until)},
               {"answer_ms", milliseconds_from_start(schedule.answer_deadline)},
               {"exit_ms", milliseconds_from_start(schedule.exit_by)}});
    co_await control_plane_.announce_drain();
    const auto drain_timer =
        std::make_shared<boost::asio::steady_timer>(control_io_, schedule.exit_by - context_.clock.now());
    boost::asio::steady_timer answer_deadline_timer(control_io_,
                                                    schedule.answer_deadline - context_.clock.now());
    answer_deadline_timer.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            end_exchanges();
        }
    });
    start_shard_drains(drain_timer);
    // Cancelled when all shards have finished.
    const auto [finished] =
        co_await drain_timer->async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    control_plane_.leave();
    log_event(event_level::info, "drain_ended",
              {{"node", context_.self.name}, {"everything_finished", finished.failed()}});
}

void node::end_exchanges() {
    for (std::size_t i = 0; i < node_shards_.size(); ++i) {
        boost::asio::post(shard_threads_.context(i), [this, i] { node_shards_[i]->end_exchanges(); });
    }
}

// The shards drain on their own threads, so that nothing has to be cancelled across threads when the time is
// over.
void node::start_shard_drains(const std::shared_ptr<boost::asio::steady_timer>& all_finished) {
    const auto remaining = std::make_shared<std::size_t>(node_shards_.size());
    for (std::size_t i = 0; i < node_shards_.size(); ++i) {
        boost::asio::co_spawn(shard_threads_.context(i), node_shards_[i]->drain(),
                              [this, remaining, all_finished](std::exception_ptr) {
                                  boost::asio::post(control_io_, [remaining, all_finished] {
                                      if (--*remaining == 0) {
                                          all_finished->cancel();
                                      }
                                  });
                              });
    }
}

choice_or_refusal<route_choice> node::choose_holder(const request_head& head) const {
    choice_or_refusal<route_choice> result;
    const std::optional<node_identity> holder = control_plane_.claims().holder_of(head);
    if (!holder) {
        result.refused = {error_kind::slot_moving, "the slot of the idempotency key has no holder yet",
                          std::nullopt};
        return result;
    }
    route_choice route;
    route.node = holder->name;
    route.local = *holder == context_.self;
    route.reason = "holder_of_key";
    const auto nodes = context_.nodes.read();
    const auto address = nodes->find(holder->name);
    if (address == nodes->end() || address->second.identity != *holder) {
        result.refused = {error_kind::slot_moving, "the holder of the idempotency key's slot is not alive",
                          std::nullopt};
        return result;
    }
    route.peer = address->second.peer;
    result.choice = std::move(route);
    return result;
}

control_handler node::make_control_handler() {
    return
        [this](std::string_view method, std::string_view payload) -> awaitable<absl::StatusOr<std::string>> {
            // The control plane may be used on the control thread only.
            return call_on_thread(control_io_.get_executor(),
                                  control_plane_.handle_call(std::string(method), std::string(payload)));
        };
}

}  // namespace teaselpitch
