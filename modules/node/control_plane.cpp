#include "modules/node/control_plane.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <set>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

// Queued requests are dropped at most this late; well below the shortest useful deadline.
constexpr std::chrono::milliseconds queue_tick{5};
constexpr std::chrono::milliseconds judge_tick{25};
constexpr std::chrono::milliseconds ejector_tick{100};
constexpr std::chrono::milliseconds heartbeat{1'000};
constexpr std::chrono::milliseconds call_timeout{1'000};
constexpr std::string_view state_method = "state";

wire::NodeFact own_fact(const node_context& context) {
    const node_settings& settings = context.settings;
    wire::NodeFact fact;
    fact.set_name(context.self.name);
    fact.set_incarnation(context.self.incarnation);
    fact.set_address(settings.peer_advertise.address);
    fact.set_peer_port(settings.peer_advertise.port);
    fact.set_admin_port(settings.admin_advertise.port);
    fact.set_availability_zone(settings.availability_zone);
    return fact;
}

}  // namespace

control_plane::control_plane(boost::asio::io_context& control, node_context& context)
    : control_(control),
      context_(context),
      fleet_(context.clock, own_fact(context)),
      log_({.address = context.settings.log_address, .stream = context.settings.log_stream}),
      follower_(log_, replica_, context.clock, {.seed = context.self.incarnation},
                {.on_record = [this](const wire::StoredRecord& record,
                                     const apply_result& result) { on_record(record, result); },
                 .on_table = [this] { on_table(); },
                 .on_availability =
                     [this](const std::string& reason) {
                         context_.metrics.set_log_available(reason.empty());
                         log_event(event_level::warning, "log_availability",
                                   {{"available", reason.empty()}, {"reason", reason}});
                     }}),
      peers_(control.get_executor(), context.clock,
             {.bind_address = context.settings.bind_address.value_or(""), .on_silent_connection = {}}) {}

void control_plane::start() {
    apply({.nodes = true, .services = {}});
    spawn(follower_.run(), "log_follower");
    spawn(exchange_state(), "state_exchange");
    spawn(every(queue_tick, [this] { context_.targets.on_queue_tick(); }), "queue_tick");
    spawn(every(judge_tick, [this] { context_.targets.on_judge_tick(); }), "judge_tick");
    spawn(every(ejector_tick, [this] { context_.services.on_tick(); }), "ejector_tick");
    spawn(every(heartbeat,
                [this] {
                    context_.targets.expire();
                    context_.targets.quarantine().on_tick();
                    context_.paths.on_tick();
                    apply(fleet_.on_tick());
                }),
          "heartbeat");
}

awaitable<void> control_plane::announce_drain() {
    fleet_.set_draining();
    context_.targets.leave_all();
    apply(fleet_.on_tick());
    for (const endpoint& peer : peers_to_ask()) {
        spawn(exchange_state_with(peer), "announce_drain");
    }
    // The answers show that the peers know; a peer that does not answer learns it from the others.
    boost::asio::steady_timer timer(control_, call_timeout);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

void control_plane::on_own_target(const kept_target_fact& fact) {
    apply(fleet_.on_own_target(fact));
    // A leaving target is told to the others at once, so that they stop choosing it.
    for (const endpoint& peer : peers_to_ask()) {
        spawn(exchange_state_with(peer), "target_change");
    }
}

awaitable<absl::StatusOr<std::string>> control_plane::handle_call(std::string method, std::string payload) {
    if (method != state_method) {
        co_return absl::UnimplementedError("unknown control method \"" + method + "\"");
    }
    wire::FullState state;
    if (!state.ParseFromString(payload)) {
        co_return absl::InvalidArgumentError("not a full state message");
    }
    apply(fleet_.merge(state));
    co_return fleet_.full_state().SerializeAsString();
}

void control_plane::spawn(awaitable<void> task, std::string_view name) {
    boost::asio::co_spawn(control_, std::move(task), [name](std::exception_ptr failure) {
        if (!failure) {
            return;
        }
        try {
            std::rethrow_exception(failure);
        } catch (const std::exception& error) {
            log_event(event_level::error, "task_failed", {{"task", name}, {"reason", error.what()}});
        }
    });
}

awaitable<void> control_plane::every(std::chrono::milliseconds period, std::function<void()> work) {
    boost::asio::steady_timer timer(control_);
    while (true) {
        timer.expires_after(period);
        co_await timer.async_wait(boost::asio::use_awaitable);
        work();
    }
}

awaitable<void> control_plane::exchange_state() {
    boost::asio::steady_timer timer(control_);
    while (true) {
        for (const endpoint& peer : peers_to_ask()) {
            spawn(exchange_state_with(peer), "state_exchange");
        }
        timer.expires_after(heartbeat);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

awaitable<void> control_plane::exchange_state_with(endpoint peer) {
    const auto answer =
        co_await peers_.call(peer, state_method, fleet_.full_state().SerializeAsString(), call_timeout);
    wire::FullState state;
    if (answer.ok() && state.ParseFromString(*answer)) {
        apply(fleet_.merge(state));
    }
}

std::vector<endpoint> control_plane::peers_to_ask() const {
    std::set<endpoint> result(context_.settings.seeds.begin(), context_.settings.seeds.end());
    for (const auto& [name, address] : fleet_.directory()) {
        result.insert(address.peer);
    }
    result.erase(context_.settings.peer_advertise);
    return {result.begin(), result.end()};
}

void control_plane::on_table() {
    auto routing =
        std::make_shared<const routing_table>(replica_.current(), context_.settings.availability_zone);
    context_.routing.update(routing);
    fleet_.set_table_version(replica_.version());
    context_.metrics.set_table_version(replica_.version());
    std::set<std::string> services;
    replica_.current()->services().for_each(
        [&services](const service_row& row) { services.insert(row.service); });
    for (const std::string& service : services) {
        context_.services.router(service).on_rules(routing->rules_of(service));
    }
    context_.targets.on_rules();
    log_event(event_level::info, "table_in_force",
              {{"version", replica_.version()},
               {"services", services.size()},
               {"routes", replica_.current()->routes().size()}});
}

void control_plane::on_record(const wire::StoredRecord& record, const apply_result& result) {
    if (!result.edit) {
        return;
    }
    decision_record entry;
    entry.subject = decision_subject::edit;
    entry.id = result.edit->edit_id;
    entry.decision = result.edit->accepted ? "accepted" : "rejected";
    entry.rule = result.edit->accepted ? "the base is the current version" : result.edit->reason;
    entry.evidence = {{"offset", std::to_string(record.offset())},
                      {"version", std::to_string(result.edit->version)},
                      {"author", result.edit->author}};
    context_.decisions.add(std::move(entry));
}

void control_plane::apply(const fleet_change& change) {
    if (change.nodes) {
        context_.nodes.update(std::make_shared<const node_directory>(fleet_.directory()));
    }
    for (const std::string& service : change.services) {
        context_.services.router(service).on_targets(fleet_.targets_of(service));
    }
    if (change.nodes || !change.services.empty()) {
        context_.metrics.set_known(fleet_.directory().size(), fleet_.targets().size());
    }
}

}  // namespace teaselpitch
