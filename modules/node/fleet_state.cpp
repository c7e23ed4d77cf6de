#include "modules/node/fleet_state.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace teaselpitch {
namespace {

wire::TargetFact::State state_of(const kept_target_fact& fact) {
    if (fact.gone) {
        return wire::TargetFact::GONE;
    }
    switch (fact.state) {
        case target_lifecycle::starting:
            return wire::TargetFact::STARTING;
        case target_lifecycle::ready:
            return wire::TargetFact::READY;
        case target_lifecycle::leaving:
            return wire::TargetFact::LEAVING;
    }
    return wire::TargetFact::LEAVING;
}

target_lifecycle lifecycle_of(wire::TargetFact::State state) {
    switch (state) {
        case wire::TargetFact::STARTING:
            return target_lifecycle::starting;
        case wire::TargetFact::READY:
            return target_lifecycle::ready;
        default:
            return target_lifecycle::leaving;
    }
}

std::chrono::milliseconds to_milliseconds(std::chrono::nanoseconds value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

}  // namespace

fleet_state::fleet_state(const time_source& clock, wire::NodeFact self)
    : clock_(clock), self_(std::move(self)) {}

fleet_change fleet_state::on_own_target(const kept_target_fact& fact) {
    wire::TargetFact message;
    message.set_name(fact.identity.name);
    message.set_incarnation(fact.identity.incarnation);
    message.set_sequence(next_sequence_++);
    message.set_service(fact.service);
    message.set_node(self_.name());
    message.set_node_incarnation(self_.incarnation());
    message.set_state(state_of(fact));
    message.set_slots(fact.slots);
    message.set_ready_age_ms(
        static_cast<std::uint64_t>(to_milliseconds(clock_.now() - fact.ready_since).count()));
    fleet_change change;
    merge_target(message, change);
    return change;
}

fleet_change fleet_state::merge(const wire::FullState& state) {
    fleet_change change;
    for (const wire::Fact& fact : state.facts()) {
        if (fact.has_node()) {
            merge_node(fact.node(), change);
        } else if (fact.has_target()) {
            merge_target(fact.target(), change);
        }
    }
    return change;
}

fleet_change fleet_state::on_tick() {
    self_.set_refutation(self_.refutation() + 1);
    fleet_change change;
    for (auto& [name, entry] : nodes_) {
        if (!entry.alive || clock_.now() - entry.advanced_at < heartbeat_limit) {
            continue;
        }
        entry.alive = false;
        change.nodes = true;
        for (const auto& [target, known] : targets_) {
            if (known.fact.node() == name) {
                change.services.insert(known.fact.service());
            }
        }
    }
    return change;
}

wire::FullState fleet_state::full_state() const {
    wire::FullState state;
    *state.add_facts()->mutable_node() = self_;
    for (const auto& [name, entry] : nodes_) {
        if (entry.alive) {
            *state.add_facts()->mutable_node() = entry.fact;
        }
    }
    for (const auto& [name, entry] : targets_) {
        wire::TargetFact* fact = state.add_facts()->mutable_target();
        *fact = entry.fact;
        fact->set_ready_age_ms(
            static_cast<std::uint64_t>(to_milliseconds(clock_.now() - entry.ready_since).count()));
    }
    return state;
}

std::vector<wire::NodeFact> fleet_state::nodes() const {
    std::vector<wire::NodeFact> result{self_};
    for (const auto& [name, entry] : nodes_) {
        result.push_back(entry.fact);
        result.back().set_state(entry.alive ? wire::NodeFact::ALIVE : wire::NodeFact::DEAD);
    }
    return result;
}

std::vector<wire::TargetFact> fleet_state::targets() const {
    std::vector<wire::TargetFact> result;
    for (const auto& [name, entry] : targets_) {
        result.push_back(entry.fact);
    }
    return result;
}

node_directory fleet_state::directory() const {
    node_directory result;
    for (const wire::NodeFact& fact : nodes()) {
        if (fact.state() == wire::NodeFact::ALIVE) {
            result.emplace(fact.name(),
                           node_address{{fact.name(), fact.incarnation()},
                                        {fact.address(), static_cast<std::uint16_t>(fact.peer_port())},
                                        fact.availability_zone(),
                                        true});
        }
    }
    return result;
}

std::vector<registered_target> fleet_state::targets_of(const std::string& service) const {
    std::vector<registered_target> result;
    for (const auto& [name, entry] : targets_) {
        if (entry.fact.service() != service || !is_live(entry.fact)) {
            continue;
        }
        const auto node = nodes_.find(entry.fact.node());
        result.push_back(
            {.identity = {name, entry.fact.incarnation()},
             .node = entry.fact.node(),
             .zone = node == nodes_.end() ? self_.availability_zone() : node->second.fact.availability_zone(),
             .slots = entry.fact.slots(),
             .weight = 1.0,
             .lifecycle = lifecycle_of(entry.fact.state()),
             .ready_since = entry.ready_since});
    }
    return result;
}

void fleet_state::merge_node(const wire::NodeFact& fact, fleet_change& change) {
    if (fact.name() == self_.name()) {
        return;
    }
    const auto order = [](const wire::NodeFact& value) {
        return std::pair(value.incarnation(), value.refutation());
    };
    const auto known = nodes_.find(fact.name());
    if (known != nodes_.end() && order(fact) <= order(known->second.fact)) {
        return;
    }
    const bool fresh = known == nodes_.end() || !known->second.alive ||
                       known->second.fact.incarnation() != fact.incarnation() ||
                       known->second.fact.draining() != fact.draining();
    nodes_[fact.name()] = {fact, clock_.now(), true};
    if (!fresh) {
        return;
    }
    change.nodes = true;
    for (const auto& [target, entry] : targets_) {
        if (entry.fact.node() == fact.name()) {
            change.services.insert(entry.fact.service());
        }
    }
}

void fleet_state::merge_target(const wire::TargetFact& fact, fleet_change& change) {
    const auto order = [](const wire::TargetFact& value) {
        return std::tuple(value.incarnation(), value.node_incarnation(), value.sequence());
    };
    const auto known = targets_.find(fact.name());
    if (known != targets_.end() && order(fact) <= order(known->second.fact)) {
        return;
    }
    targets_[fact.name()] = {fact, clock_.now() - std::chrono::milliseconds{fact.ready_age_ms()}};
    change.services.insert(fact.service());
}

bool fleet_state::is_live(const wire::TargetFact& fact) const {
    if (fact.state() == wire::TargetFact::GONE) {
        return false;
    }
    if (fact.node() == self_.name()) {
        return fact.node_incarnation() == self_.incarnation();
    }
    const auto node = nodes_.find(fact.node());
    return node != nodes_.end() && node->second.alive &&
           node->second.fact.incarnation() == fact.node_incarnation();
}

}  // namespace teaselpitch
