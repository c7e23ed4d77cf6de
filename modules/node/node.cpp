#include "modules/node/node.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <csignal>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {

node::node(const node_settings& settings, settings_file& file, node_platform platform,
           const time_source& clock, std::uint64_t incarnation)
    : settings_(settings),
      file_(file),
      platform_(std::move(platform)),
      context_(settings_, platform_.dialect, clock, {settings_.name, incarnation},
               [this](std::function<void()> work) { boost::asio::post(control_, std::move(work)); }),
      plane_(control_, context_, platform_,
             {.limits_changed = [this](const caller_limits& limits) { set_caller_limits(limits); }}),
      api_(context_, plane_, platform_, [this] { request_drain(); }),
      admin_(control_.get_executor(), settings_.admin_listen,
             [this](admin_request request) { return api_.handle(std::move(request)); }),
      shards_(settings_.threads) {
    if (settings_.store) {
        context_.configured = false;
        readiness_ = std::make_unique<admin_server>(
            control_.get_executor(), settings_.store->readiness_listen,
            [this](admin_request request) { return api_.answer_readiness(std::move(request)); });
    }
    context_.target_changed = [this](const kept_target_fact& fact) { plane_.on_own_target(fact); };
    context_.target_crashed = [this](const gate_run& run, std::uint64_t fingerprint) {
        context_.post_control(
            [this, service = run.head.service, fingerprint] { plane_.on_quarantine(service, fingerprint); });
    };
}

node::~node() {
    // The shards' threads end before the objects that they use.
    shards_.stop();
}

absl::Status node::run() {
    const absl::StatusOr<endpoint> admin = admin_.start();
    if (!admin.ok()) {
        return admin.status();
    }
    if (absl::Status started = start_shards(); !started.ok()) {
        return started;
    }
    if (absl::Status started = plane_.start(); !started.ok()) {
        return started;
    }
    if (readiness_) {
        if (const auto started = readiness_->start(); !started.ok()) {
            return started.status();
        }
    }
    boost::asio::co_spawn(control_, watch_signals(), boost::asio::detached);
    boost::asio::co_spawn(control_, watch_settings(), boost::asio::detached);
    log_event(event_level::info, "node_started",
              {{"node", context_.self.name},
               {"incarnation", context_.self.incarnation},
               {"zone", settings_.availability_zone},
               {"callers", to_string(settings_.caller_listen)},
               {"admin", to_string(*admin)},
               {"peers", to_string(settings_.peer_listen)},
               {"threads", settings_.threads}});
    control_.run();
    shards_.stop();
    return absl::OkStatus();
}

absl::Status node::start_shards() {
    for (std::size_t i = 0; i < shards_.size(); ++i) {
        shard_hooks hooks;
        hooks.control = make_control_handler();
        hooks.run_keyed = [this](gate& entry, const request_head& head, body_reader& body,
                                 response_writer& writer) {
            return plane_.claims().run(entry, head, body, writer);
        };
        hooks.choose_holder = [this](const request_head& head) { return choose_holder(head); };
        hooks.direct_result = [this](const std::string& peer_node, bool reached) {
            context_.post_control(
                [this, peer_node, reached] { plane_.on_direct_result(peer_node, reached); });
        };
        shard_states_.push_back(
            std::make_unique<node_shard>(shards_.context(i).get_executor(), context_, std::move(hooks)));
        if (absl::Status started = shard_states_.back()->start(); !started.ok()) {
            return started;
        }
    }
    shards_.start();
    return absl::OkStatus();
}

awaitable<void> node::watch_signals() {
    boost::asio::signal_set signals(control_, SIGTERM, SIGINT, SIGHUP);
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
    boost::asio::steady_timer timer(control_);
    while (true) {
        timer.expires_after(interval);
        co_await timer.async_wait(boost::asio::use_awaitable);
        if (file_.has_changed()) {
            reload_settings("file changed");
        }
    }
}

void node::reload_settings(std::string_view reason) {
    const settings_result loaded = file_.load();
    if (!loaded.errors.empty()) {
        log_event(event_level::error, "reload_refused",
                  {{"file", file_.path()}, {"faults", loaded.errors.size()}});
        return;
    }
    // Everything but the level belongs to sockets and state that exist; it takes effect at the next start.
    set_event_level(loaded.settings.log_level);
    std::string waiting;
    for (const std::string& key : changed_keys(settings_, loaded.settings)) {
        waiting += key == "log_level" ? "" : (waiting.empty() ? "" : ",") + key;
    }
    log_event(event_level::info, "settings_reloaded",
              {{"file", file_.path()}, {"reason", reason}, {"at_next_start", waiting}});
}

void node::request_drain() {
    if (drain_requested_) {
        return;
    }
    drain_requested_ = true;
    boost::asio::co_spawn(control_, drain(), [this](std::exception_ptr) { control_.stop(); });
}

void node::set_caller_limits(const caller_limits& limits) {
    for (std::size_t i = 0; i < shard_states_.size(); ++i) {
        boost::asio::post(shards_.context(i),
                          [this, i, limits] { shard_states_[i]->set_caller_limits(limits); });
    }
}

awaitable<void> node::drain() {
    using namespace boost::asio::experimental::awaitable_operators;
    // Leaves time for the answers to reach their callers before the process ends.
    constexpr std::chrono::milliseconds answer_margin{450};
    const steady_time start = context_.clock.now();
    const steady_time end = start + drain_time();
    const steady_time answer_by = end - answer_margin;
    context_.answer_by = answer_by;
    context_.draining = true;
    log_event(event_level::info, "drain_started", {{"node", context_.self.name}});
    co_await plane_.announce_drain();
    boost::asio::steady_timer limit(control_, end - context_.clock.now());
    boost::asio::steady_timer last_answers(control_, answer_by - context_.clock.now());
    last_answers.async_wait([this](const boost::system::error_code& cancelled) {
        if (!cancelled) {
            end_exchanges();
        }
    });
    const auto all_shards = [this]() -> awaitable<void> {
        for (std::size_t i = 0; i < shard_states_.size(); ++i) {
            co_await drain_shard(i);
        }
    };
    const auto finished = co_await (all_shards() || limit.async_wait(boost::asio::use_awaitable));
    plane_.leave();
    log_event(event_level::info, "drain_ended",
              {{"node", context_.self.name}, {"everything_finished", finished.index() == 0}});
}

// The platform kills the process at its limit, and connections that are open then get no answer.
std::chrono::milliseconds node::drain_time() const {
    constexpr int parts = 12;  // The last one is left for the end of the process.
    if (!settings_.store) {
        return settings_.drain_timeout;
    }
    return std::min(settings_.drain_timeout, settings_.store->drain_limit / parts * (parts - 1));
}

void node::end_exchanges() {
    for (std::size_t i = 0; i < shard_states_.size(); ++i) {
        boost::asio::post(shards_.context(i), [this, i] { shard_states_[i]->end_exchanges(); });
    }
}

awaitable<void> node::drain_shard(std::size_t index) {
    // The shard's objects are used on its own thread only.
    co_await boost::asio::co_spawn(shards_.context(index), shard_states_[index]->drain(),
                                   boost::asio::use_awaitable);
}

choice_or_refusal<route_choice> node::choose_holder(const request_head& head) const {
    choice_or_refusal<route_choice> result;
    const std::optional<node_identity> holder = plane_.claims().holder_of(head);
    if (!holder) {
        result.refused = {error_kind::slot_moving, "the key's slot has no holder yet", std::nullopt};
        return result;
    }
    route_choice route;
    route.node = holder->name;
    route.local = *holder == context_.self;
    route.reason = "holder_of_key";
    const auto nodes = context_.nodes.read();
    const auto address = nodes->find(holder->name);
    if (address == nodes->end() || address->second.identity != *holder) {
        result.refused = {error_kind::slot_moving, "the holder of the key's slot is not alive", std::nullopt};
        return result;
    }
    route.peer = address->second.peer;
    result.choice = std::move(route);
    return result;
}

control_handler node::make_control_handler() {
    return
        [this](std::string_view method, std::string_view payload) -> awaitable<absl::StatusOr<std::string>> {
            // The control plane's state belongs to the control thread.
            return [](node& self, std::string method_text,
                      std::string payload_text) -> awaitable<absl::StatusOr<std::string>> {
                co_return co_await boost::asio::co_spawn(
                    self.control_, self.plane_.handle_call(std::move(method_text), std::move(payload_text)),
                    boost::asio::use_awaitable);
            }(*this, std::string(method), std::string(payload));
        };
}

}  // namespace teaselpitch
