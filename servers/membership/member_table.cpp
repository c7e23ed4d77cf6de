#include "servers/membership/member_table.h"

#include <algorithm>

namespace teaselpitch {
namespace {

node_state from_wire(wire::NodeFact::State state) {
    switch (state) {
        case wire::NodeFact::SUSPECT:
            return node_state::suspect;
        case wire::NodeFact::DEAD:
            return node_state::dead;
        case wire::NodeFact::LEFT:
            return node_state::left;
        default:
            return node_state::alive;
    }
}

bool supersedes(const wire::NodeFact& fact, const member& existing) {
    if (fact.incarnation() != existing.identity.incarnation) {
        return fact.incarnation() > existing.identity.incarnation;
    }
    const node_state state = from_wire(fact.state());
    if (existing.state == node_state::left || state == node_state::left) {
        return existing.state != node_state::left;
    }
    if (fact.refutation() != existing.refutation) {
        return fact.refutation() > existing.refutation;
    }
    return state > existing.state;
}

void copy_details(const wire::NodeFact& fact, member& target) {
    // A node that already removed the member reports its death without an address.
    if (!fact.address().empty()) {
        const auto gossip_port = fact.gossip_port() == 0 ? fact.peer_port() : fact.gossip_port();
        target.gossip = {fact.address(), static_cast<std::uint16_t>(gossip_port)};
        target.peer = {fact.address(), static_cast<std::uint16_t>(fact.peer_port())};
        target.admin_port = static_cast<std::uint16_t>(fact.admin_port());
        target.availability_zone = fact.availability_zone();
    }
    target.table_version = std::max<std::uint64_t>(target.table_version, fact.table_version());
    target.draining = fact.draining();
}

void remove_from(std::vector<member*>& list, const member& value) {
    const auto found = std::find(list.begin(), list.end(), &value);
    if (found != list.end()) {
        *found = list.back();
        list.pop_back();
    }
}

}  // namespace

wire::NodeFact to_node_fact(const member& value) {
    wire::NodeFact fact;
    fact.set_name(value.identity.name);
    fact.set_incarnation(value.identity.incarnation);
    fact.set_refutation(value.refutation);
    fact.set_state(static_cast<wire::NodeFact::State>(value.state));
    fact.set_address(value.peer.address);
    fact.set_peer_port(value.peer.port);
    if (value.gossip.port != value.peer.port) {
        fact.set_gossip_port(value.gossip.port);
    }
    fact.set_admin_port(value.admin_port);
    fact.set_availability_zone(value.availability_zone);
    fact.set_table_version(value.table_version);
    fact.set_draining(value.draining);
    return fact;
}

std::uint64_t identity_hash(const node_identity& identity) {
    return stable_hash(identity.name, identity.incarnation);
}

void member_table::remove_from_indexes(member& value) {
    remove_from(running_, value);
    remove_from(stopped_, value);
    remove_from(suspects_, value);
    ring_.erase(stable_hash(value.identity.name));
    by_identity_.erase(identity_hash(value.identity));
    const auto at_endpoint = running_by_gossip_endpoint_.find(value.gossip);
    if (at_endpoint != running_by_gossip_endpoint_.end() && at_endpoint->second == &value) {
        running_by_gossip_endpoint_.erase(at_endpoint);
    }
}

void member_table::add_to_indexes(member& value) {
    (value.running() ? running_ : stopped_).push_back(&value);
    if (value.state == node_state::suspect) {
        suspects_.push_back(&value);
    }
    if (value.running()) {
        ring_[stable_hash(value.identity.name)] = &value;
        running_by_gossip_endpoint_[value.gossip] = &value;
    }
    by_identity_[identity_hash(value.identity)] = &value;
}

void member_table::set_state(member& value, node_state state, steady_time now) {
    remove_from_indexes(value);
    value.state = state;
    value.state_changed_at = now;
    add_to_indexes(value);
}

std::optional<member_change> member_table::apply(const wire::NodeFact& fact, fact_source source,
                                                 steady_time now, std::chrono::milliseconds suspicion) {
    const auto [position, added] = members_.try_emplace(fact.name());
    member& existing = position->second;
    const bool same_incarnation = !added && fact.incarnation() == existing.identity.incarnation;
    if (!added && !supersedes(fact, existing)) {
        return std::nullopt;
    }
    node_state state = from_wire(fact.state());
    if (same_incarnation && existing.state == node_state::alive && state == node_state::dead) {
        if (source == fact_source::sync) {
            return std::nullopt;
        }
        state = node_state::suspect;
    }
    const node_state previous = existing.state;
    if (!added) {
        remove_from_indexes(existing);
    }
    if (!same_incarnation) {
        existing = member{};
        existing.identity = {fact.name(), fact.incarnation()};
    }
    const bool newer_refutation = fact.refutation() > existing.refutation;
    existing.refutation = std::max<std::uint64_t>(existing.refutation, fact.refutation());
    copy_details(fact, existing);
    if (!same_incarnation || previous != state || newer_refutation) {
        existing.state_changed_at = now;
        existing.suspect_deadline = now + suspicion;
    }
    existing.state = state;
    add_to_indexes(existing);
    member_change change{std::nullopt, state, &existing};
    if (same_incarnation) {
        change.previous_state = previous;
    }
    return change;
}

std::optional<member_change> member_table::suspect(std::string_view name, steady_time now,
                                                   steady_time deadline) {
    member* existing = find(name);
    if (existing == nullptr || existing->state != node_state::alive) {
        return std::nullopt;
    }
    set_state(*existing, node_state::suspect, now);
    existing->suspect_deadline = deadline;
    return member_change{node_state::alive, node_state::suspect, existing};
}

std::optional<member_change> member_table::declare_dead(std::string_view name, steady_time now) {
    member* existing = find(name);
    if (existing == nullptr || existing->state != node_state::suspect) {
        return std::nullopt;
    }
    set_state(*existing, node_state::dead, now);
    return member_change{node_state::suspect, node_state::dead, existing};
}

std::vector<std::string> member_table::remove_expired(steady_time now, std::chrono::milliseconds age) {
    std::vector<std::string> names;
    for (const member* value : stopped_) {
        if (now - value->state_changed_at > age) {
            names.push_back(value->identity.name);
        }
    }
    for (const std::string& name : names) {
        remove_from_indexes(members_.at(name));
        members_.erase(name);
    }
    return names;
}

member* member_table::find(std::string_view name) {
    const auto found = members_.find(std::string(name));
    return found == members_.end() ? nullptr : &found->second;
}

const member* member_table::find(std::string_view name) const {
    const auto found = members_.find(std::string(name));
    return found == members_.end() ? nullptr : &found->second;
}

const member* member_table::find_by_gossip_endpoint(const endpoint& address) const {
    const auto found = running_by_gossip_endpoint_.find(address);
    return found == running_by_gossip_endpoint_.end() ? nullptr : found->second;
}

member* member_table::find_by_hash(std::uint64_t hash) {
    const auto found = by_identity_.find(hash);
    return found == by_identity_.end() ? nullptr : found->second;
}

const member* member_table::successor(std::string_view name, std::string_view zone) const {
    auto next = ring_.upper_bound(stable_hash(name));
    for (std::size_t i = 0; i < ring_.size(); ++i) {
        if (next == ring_.end()) {
            next = ring_.begin();
        }
        const member& value = *next->second;
        if (value.state == node_state::alive && value.availability_zone == zone &&
            value.identity.name != name) {
            return next->second;
        }
        ++next;
    }
    return nullptr;
}

std::vector<std::string> member_table::expired_suspects(steady_time now) const {
    std::vector<std::string> names;
    for (const member* value : suspects_) {
        if (now >= value->suspect_deadline) {
            names.push_back(value->identity.name);
        }
    }
    return names;
}

}  // namespace teaselpitch
