#include "modules/node/fleet_membership.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds sync_timeout{2'000};
// One round transfers a bounded number of leaves, so a node that starts needs several rounds.
constexpr int max_sync_rounds = 64;

membership_local_node make_membership_self(const node_context& context) {
    const node_settings& settings = context.settings;
    return {.identity = context.self,
            .availability_zone = settings.availability_zone,
            .gossip = settings.peer_advertise,
            .peer = settings.peer_advertise,
            .admin_port = settings.admin_advertise.port};
}

membership_options make_membership_options(const node_settings& settings) {
    membership_options options;
    if (settings.store) {
        // A node that restarts while the store is unavailable is found by the probes of the nodes that have a
        // record of it.
        options.dead_probe_interval = std::chrono::milliseconds{1'000};
    }
    return options;
}

announced_state to_announced(target_lifecycle state) {
    switch (state) {
        case target_lifecycle::starting:
            return announced_state::starting;
        case target_lifecycle::ready:
            return announced_state::ready;
        case target_lifecycle::leaving:
            return announced_state::leaving;
    }
    return announced_state::leaving;
}

target_lifecycle to_lifecycle(announced_state state) {
    switch (state) {
        case announced_state::starting:
            return target_lifecycle::starting;
        case announced_state::ready:
            return target_lifecycle::ready;
        default:
            return target_lifecycle::leaving;
    }
}

std::string_view state_name(node_state state) {
    switch (state) {
        case node_state::alive:
            return "alive";
        case node_state::suspect:
            return "suspect";
        case node_state::dead:
            return "dead";
        case node_state::left:
            return "left";
    }
    return "unknown";
}

}  // namespace

fleet_membership::fleet_membership(boost::asio::any_io_executor executor, node_context& context,
                                   peer_pool& peers, fleet_hooks hooks)
    : executor_(executor),
      context_(context),
      peers_(peers),
      hooks_(std::move(hooks)),
      targets_(
          context.clock, context.self, {},
          {.on_change = [this](const target_view& view) { on_target_change(view); },
           .on_verdict = [this](const wire::VerdictFact& fact) { hooks_.verdict_received(fact); },
           .on_quarantine = [this](const wire::QuarantineFact& fact) { hooks_.quarantine_received(fact); },
           .on_success = [this](const wire::SuccessFact& fact) { hooks_.success_received(fact); },
           .on_departed_announced =
               [this](const std::string& node, const wire::Fact& departure) {
                   on_departed_announced(node, departure);
               },
           .on_crash = [this](const wire::CrashFact& fact) { hooks_.crash_received(fact); }}),
      members_(context.clock, std::mt19937_64(std::random_device{}()), make_membership_self(context),
               context.settings.seeds, make_membership_options(context.settings),
               {.on_change = [this](const member_change& change) { on_member_change(change); },
                .on_fact = [this](const wire::Fact& fact) { return targets_.apply(fact); }}),
      sync_(members_, targets_),
      socket_(executor, context.settings.peer_listen,
              [this](const endpoint& from, std::span<const std::byte> payload) {
                  send(members_.on_datagram(from, payload));
                  hooks_.datagram_received();
              }) {}

absl::Status fleet_membership::start() {
    targets_.on_node_state(context_.self, true);
    return socket_.start().status();
}

void fleet_membership::on_tick() {
    send(members_.on_tick());
    for (const wire::Fact& fact : targets_.on_tick()) {
        send(members_.gossip(fact));
    }
    send_departures();
}

void fleet_membership::renew_targets() {
    for (const managed_target_fact& fact : context_.targets.facts()) {
        on_local_target(fact);
    }
}

void fleet_membership::on_local_target(const managed_target_fact& fact) {
    // A target that stopped responding is announced as leaving until the registry removes it.
    const announced_state state = fact.gone ? announced_state::leaving : to_announced(fact.state);
    const auto announced = targets_.announce({fact.identity, fact.service, fact.slots, state, fact.departed});
    if (announced.ok() && announced->has_value()) {
        send(members_.gossip(**announced));
    }
}

void fleet_membership::leave() {
    send(members_.leave());
}

void fleet_membership::gossip(const wire::Fact& fact) {
    send(members_.gossip(fact));
}

void fleet_membership::on_direct_result(std::string_view node, bool reached) {
    send(members_.on_direct_result(node, reached));
}

absl::StatusOr<std::string> fleet_membership::answer_sync(std::string_view method, std::string_view payload) {
    return method == groups_method ? sync_.answer_groups(payload) : sync_.answer_facts(payload);
}

node_directory fleet_membership::directory() const {
    node_directory result;
    for (const member& known : members()) {
        if (known.running()) {
            result.emplace(known.identity.name,
                           node_address{known.identity, known.peer, known.availability_zone,
                                        members_.is_directly_reachable(known.identity.name)});
        }
    }
    return result;
}

std::vector<member> fleet_membership::members() const {
    std::vector<member> result{members_.self()};
    for (const member* known : members_.running()) {
        result.push_back(*known);
    }
    for (const member* known : members_.stopped()) {
        result.push_back(*known);
    }
    return result;
}

std::size_t fleet_membership::possible_node_count() const {
    const std::vector<member> known = members();
    return static_cast<std::size_t>(std::count_if(
        known.begin(), known.end(), [](const member& value) { return value.state != node_state::left; }));
}

std::size_t fleet_membership::confirmed_node_count() const {
    const std::vector<member> known = members();
    return static_cast<std::size_t>(std::count_if(
        known.begin(), known.end(), [](const member& value) { return value.state == node_state::alive; }));
}

std::vector<registered_target> fleet_membership::targets_of(const std::string& service) const {
    std::vector<registered_target> result;
    targets_.for_each(service, [this, &result](const target_view& view) {
        const member* node = members_.find(view.node);
        const bool own = view.node == context_.self.name;
        result.push_back(
            {.identity = {std::string(view.name), view.incarnation},
             .node = std::string(view.node),
             .zone = own || node == nullptr ? context_.settings.availability_zone : node->availability_zone,
             .slots = view.slots,
             .weight = 1.0,
             .lifecycle = to_lifecycle(view.state),
             .ready_since = context_.clock.now() - view.ready_age});
    });
    return result;
}

void fleet_membership::send(const membership_output& output) {
    for (const outgoing_datagram& datagram : output.datagrams) {
        // The protocol repeats a lost datagram, so a failed send is ignored.
        (void)socket_.send(datagram.to, std::as_bytes(std::span(datagram.payload)));
    }
    if (output.sync_peer) {
        boost::asio::co_spawn(executor_, run_anti_entropy(*output.sync_peer), boost::asio::detached);
    }
}

void fleet_membership::on_target_change(const target_view& view) {
    hooks_.targets_changed(std::string(view.service));
    if (view.departed && view.node == context_.self.name) {
        hooks_.local_target_departed({std::string(view.name), view.incarnation});
    }
}

void fleet_membership::on_departed_announced(const std::string& node, const wire::Fact& departure) {
    log_event(event_level::info, "departed_target_announced",
              {{"target", departure.target().name()},
               {"incarnation", departure.target().incarnation()},
               {"node", node}});
    pending_departures_.push_back(departure);
}

// A node that has restarted has lost the departures that it acknowledged. Its zone tells it.
void fleet_membership::send_departures() {
    for (const std::string& name : std::exchange(started_nodes_, {})) {
        const member* started = members_.find(name);
        if (started != nullptr && started->running() &&
            started->availability_zone == context_.settings.availability_zone) {
            const std::vector<wire::Fact> known = targets_.departures_of(name);
            pending_departures_.insert(pending_departures_.end(), known.begin(), known.end());
        }
    }
    for (const wire::Fact& departure : std::exchange(pending_departures_, {})) {
        send(members_.inform(departure.target().node(), departure));
    }
}

void fleet_membership::on_member_change(const member_change& change) {
    log_event(event_level::info, "member",
              {{"node", change.changed_member->identity.name},
               {"incarnation", change.changed_member->identity.incarnation},
               {"zone", change.changed_member->availability_zone},
               {"state", state_name(change.new_state)}});
    targets_.on_node_state(change.changed_member->identity, change.changed_member->running());
    if (!change.previous_state) {
        started_nodes_.push_back(change.changed_member->identity.name);
    }
    hooks_.nodes_changed();
}

awaitable<void> fleet_membership::run_anti_entropy(endpoint peer) {
    for (int round = 0; round < max_sync_rounds; ++round) {
        std::string groups = sync_.groups_request();
        const auto leaves = co_await peers_.call(peer, groups_method, std::move(groups), sync_timeout);
        if (!leaves.ok()) {
            co_return;
        }
        auto request = sync_.facts_request(*leaves);
        if (!request.ok() || !request->has_value()) {
            co_return;
        }
        std::string wanted = std::move(**request);
        const auto facts = co_await peers_.call(peer, facts_method, std::move(wanted), sync_timeout);
        if (!facts.ok() || !sync_.merge(*facts).ok()) {
            co_return;
        }
    }
}

}  // namespace teaselpitch
