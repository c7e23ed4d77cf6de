#include <algorithm>
#include <tuple>
#include <utility>

#include "servers/membership/membership.h"

// Timers of membership: probes, suspicions, seeds and anti-entropy, and the selection of relays.

namespace teaselpitch {
namespace {

constexpr std::size_t max_relay_candidates = 3;
// Maximum number of suspicions in each ping, about 80 bytes each.
constexpr std::size_t max_suspects_per_ping = 5;
constexpr std::chrono::milliseconds relayed_probe_retention{2000};
// A sweep of a zone ends after the time in which its probes reach all nodes of the zone, and starts again
// only after a longer one, so that a lasting partition does not cause a sweep for each lost probe.
constexpr std::chrono::milliseconds sweep_duration{2'000};
constexpr std::chrono::milliseconds sweep_interval{30'000};
// A node that is no bridge probes the dead nodes of other zones less often, by this factor.
constexpr std::uint64_t remote_dead_probe_factor = 4;

}  // namespace

membership_output membership::on_tick() {
    const steady_time now = clock_.now();
    if (left_) {
        push_if_due();
        return take_output();
    }
    check_probes();
    declare_expired_suspects();
    start_probes();
    contact_seeds();
    choose_sync_peer();
    std::erase_if(relayed_probes_,
                  [now](const auto& item) { return now - item.second.sent > relayed_probe_retention; });
    if (!members_.remove_expired(now, options_.dead_retention).empty()) {
        bridges_outdated_ = true;
    }
    push_if_due();
    return take_output();
}

void membership::start_probes() {
    const steady_time now = clock_.now();
    if (now >= next_probe_) {
        next_probe_ = std::max(next_probe_ + options_.probe_interval, now);
        if (const member* target = next_probe_target()) {
            probe_member(*target, probe_kind::member);
        }
    }
    if (now >= next_ring_probe_) {
        next_ring_probe_ = std::max(next_ring_probe_ + options_.probe_interval, now);
        if (const member* target = members_.successor(self_.identity.name, self_.availability_zone)) {
            probe_member(*target, probe_kind::ring);
        }
    }
    update_bridges();
    if (now >= next_bridge_probe_) {
        next_bridge_probe_ = std::max(next_bridge_probe_ + options_.probe_interval, now);
        probe_remote_bridges();
    }
    if (now >= next_remote_probe_) {
        next_remote_probe_ = std::max(next_remote_probe_ + options_.remote_probe_interval, now);
        probe_random_remote_member();
    }
    if (now >= next_dead_probe_) {
        next_dead_probe_ = now + options_.dead_probe_interval;
        probe_dead_member();
    }
}

// The next bridge on the ring bounds the time until a silent bridge is noticed. The others, in turn and half
// as often, spread the table versions.
void membership::probe_remote_bridges() {
    if (!bridges_.is_bridge() || bridges_.remote_zones().empty()) {
        return;
    }
    probe_member(*bridges_.next_on_ring(), probe_kind::remote);
    if (remote_bridge_turn_++ % 2 == 0) {
        return;
    }
    std::vector<const member*> others;
    for (const remote_zone& zone : bridges_.remote_zones()) {
        others.insert(others.end(), zone.bridges.begin(), zone.bridges.end());
    }
    const member* target = others[remote_bridge_turn_ / 2 % others.size()];
    if (!is_probing(target->identity.name)) {
        probe_member(*target, probe_kind::remote);
    }
}

void membership::probe_random_remote_member() {
    update_bridges();
    for (const member* target : pick_random(bridges_.remote_members(), 1, self_.identity.name)) {
        probe_member(*target, probe_kind::remote);
    }
}

void membership::probe_dead_member() {
    update_bridges();
    const bool may_leave_zone = bridges_.is_bridge() || random_() % remote_dead_probe_factor == 0;
    std::vector<const member*> dead;
    for (const member* value : members_.stopped()) {
        const bool in_zone = value->availability_zone == self_.availability_zone;
        if (value->state == node_state::dead && (in_zone || may_leave_zone)) {
            dead.push_back(value);
        }
    }
    if (!dead.empty()) {
        probe_member(*dead[random_() % dead.size()], probe_kind::dead);
    }
}

const member* membership::next_probe_target() {
    for (int round = 0; round < 2; ++round) {
        while (!probe_order_.empty()) {
            const member* target = members_.find(probe_order_.back());
            probe_order_.pop_back();
            if (target != nullptr && target->running()) {
                return target;
            }
        }
        update_bridges();
        for (const member* value : bridges_.zone_members()) {
            probe_order_.push_back(value->identity.name);
        }
        std::shuffle(probe_order_.begin(), probe_order_.end(), random_);
    }
    return nullptr;
}

void membership::probe_member(const member& target, probe_kind kind) {
    const std::uint64_t sequence = ++sequence_;
    pending_probes_[sequence] = {target.identity.name, kind, clock_.now()};
    wire::Datagram ping = make_datagram(wire::Datagram::PING, sequence);
    ping.set_subject(target.identity.name);
    if (target.state != node_state::alive) {
        // Informs a suspect or dead member of its state, so that it can refute it.
        *ping.add_facts()->mutable_node() = to_node_fact(target);
    }
    add_suspects(ping);
    if (kind == probe_kind::dead) {
        *ping.add_facts()->mutable_node() = to_node_fact(self_);
    }
    send(target.gossip, ping);
}

void membership::add_suspects(wire::Datagram& message) const {
    // A refutation may not have reached this node. A node that received it answers the outdated suspicion
    // with it before the deadline.
    std::size_t added = 0;
    for (const member* value : members_.suspects()) {
        if (added++ < max_suspects_per_ping) {
            *message.add_facts()->mutable_node() = to_node_fact(*value);
        }
    }
}

void membership::check_probes() {
    const steady_time now = clock_.now();
    std::vector<std::pair<std::uint64_t, pending_probe>> missed;
    std::vector<std::string> failed;
    for (auto& [sequence, item] : pending_probes_) {
        if (!item.indirect && now - item.sent >= options_.ack_timeout) {
            item.indirect = true;
            missed.emplace_back(sequence, item);
        }
    }
    for (const auto& [sequence, item] : missed) {
        member* target = members_.find(item.name);
        if (target != nullptr && item.kind != probe_kind::dead) {
            ++target->direct_failures;
            target->last_direct_failure = now;
            request_indirect_probes(*target, sequence);
            if (target->availability_zone != self_.availability_zone) {
                sweep_zone_of(*target);
            }
        }
        if (item.kind == probe_kind::ring) {
            probe_ring_successor_of(item.name);
        }
    }
    for (auto it = pending_probes_.begin(); it != pending_probes_.end();) {
        const pending_probe item = it->second;
        if (now - item.sent < options_.ack_timeout + options_.indirect_timeout) {
            ++it;
            continue;
        }
        it = pending_probes_.erase(it);
        if (item.kind != probe_kind::dead) {
            on_member_change(members_.suspect(item.name, now, item.sent + options_.suspicion));
        }
    }
}

void membership::probe_ring_successor_of(std::string_view name) {
    // When a zone fails, adjacent nodes on the ring fail together, and a failed node no longer probes its
    // successor.
    const member* next = members_.successor(name, self_.availability_zone);
    if (next != nullptr && next->identity.name != self_.identity.name && !is_probing(next->identity.name)) {
        probe_member(*next, probe_kind::ring);
    }
}

bool membership::is_probing(std::string_view name) const {
    return std::any_of(pending_probes_.begin(), pending_probes_.end(),
                       [name](const auto& item) { return item.second.name == name; });
}

// A zone that is lost has no node left that notices the loss of another one. Each silent node therefore
// causes probes of several others, which reach the whole zone in a few rounds.
void membership::sweep_zone_of(const member& silent) {
    const steady_time now = clock_.now();
    const auto [started, first] = sweeps_.try_emplace(silent.availability_zone, now);
    if (now - started->second >= sweep_interval) {
        started->second = now;
    } else if (now - started->second > sweep_duration) {
        return;
    }
    std::vector<const member*> others;
    for (const member* value : members_.running()) {
        if (value->availability_zone == silent.availability_zone && value->state == node_state::alive &&
            !is_probing(value->identity.name)) {
            others.push_back(value);
        }
    }
    for (const member* value : pick_random(others, options_.sweep_fanout, silent.identity.name)) {
        probe_member(*value, probe_kind::remote);
    }
}

void membership::request_indirect_probes(const member& target, std::uint64_t sequence) {
    for (const member* relay : pick_relays(target)) {
        wire::Datagram request = make_datagram(wire::Datagram::PING_REQUEST, sequence);
        request.set_subject(target.identity.name);
        request.set_subject_address(target.gossip.address);
        request.set_subject_port(target.gossip.port);
        send(relay->gossip, request);
    }
}

void membership::declare_expired_suspects() {
    for (const std::string& name : members_.expired_suspects(clock_.now())) {
        on_member_change(members_.declare_dead(name, clock_.now()));
    }
}

std::vector<const member*> membership::pick_random(std::span<const member* const> from, std::size_t count,
                                                   std::string_view except) {
    std::vector<const member*> chosen;
    // Draws more often than needed, because a draw may return the excluded node or one already chosen.
    for (std::size_t draw = 0; draw < count * 4 && chosen.size() < count && !from.empty(); ++draw) {
        const member* value = from[random_() % from.size()];
        const bool already_chosen = std::find(chosen.begin(), chosen.end(), value) != chosen.end();
        if (!already_chosen && value->identity.name != except) {
            chosen.push_back(value);
        }
    }
    return chosen;
}

std::vector<const member*> membership::pick_relays(const member& target) {
    const std::vector<const member*> running(members_.running().begin(), members_.running().end());
    std::vector<const member*> relays = pick_random(running, options_.indirect_probes, target.identity.name);
    // A one-way partition between two zones blocks every relay in either of them, so one relay is in a third
    // zone.
    for (const member* value : pick_random(running, options_.indirect_probes * 4, target.identity.name)) {
        const bool in_third_zone = value->availability_zone != self_.availability_zone &&
                                   value->availability_zone != target.availability_zone;
        if (in_third_zone && value->state == node_state::alive && !relays.empty()) {
            relays.front() = value;
            break;
        }
    }
    return relays;
}

void membership::contact_seeds() {
    const steady_time now = clock_.now();
    for (const endpoint& seed : std::exchange(new_seeds_, {})) {
        wire::Datagram greeting = make_datagram(wire::Datagram::PING, ++sequence_);
        *greeting.add_facts()->mutable_node() = to_node_fact(self_);
        send(seed, greeting);
    }
    if (seeds_.empty() || now < next_seed_) {
        return;
    }
    const bool no_members = members_.running().empty();
    next_seed_ = now + (no_members ? options_.probe_interval : options_.seed_interval);
    wire::Datagram ping = make_datagram(wire::Datagram::PING, ++sequence_);
    *ping.add_facts()->mutable_node() = to_node_fact(self_);
    if (!no_members) {
        send(seeds_[random_() % seeds_.size()], ping);
        return;
    }
    for (const endpoint& seed : seeds_) {
        if (seed != self_.gossip) {
            send(seed, ping);
        }
    }
}

void membership::choose_sync_peer() {
    const steady_time now = clock_.now();
    update_bridges();
    std::vector<const member*> candidates;
    if (now >= next_sync_) {
        next_sync_ = now + options_.sync_interval;
        // The first exchange of a node may find no other node of its zone.
        candidates = bridges_.zone_members().empty() ? bridges_.remote_members() : bridges_.zone_members();
    } else if (now >= next_remote_sync_ && bridges_.is_bridge()) {
        next_remote_sync_ = now + options_.sync_interval;
        for (const remote_zone& zone : bridges_.remote_zones()) {
            candidates.insert(candidates.end(), zone.bridges.begin(), zone.bridges.end());
        }
    }
    for (const member* chosen : pick_random(candidates, 1, self_.identity.name)) {
        output_.sync_peer = chosen->peer;
    }
}

membership_output membership::on_direct_result(std::string_view name, bool reached) {
    member* target = members_.find(name);
    if (target == nullptr) {
        return {};
    }
    if (reached) {
        target->direct_failures = 0;
        return {};
    }
    const bool first_failure = !failed_recently(*target);
    ++target->direct_failures;
    target->last_direct_failure = clock_.now();
    if (first_failure && target->running()) {
        probe_member(*target, probe_kind::member);
    }
    return take_output();
}

bool membership::failed_recently(const member& value) const {
    return value.direct_failures > 0 &&
           clock_.now() - value.last_direct_failure < options_.direct_failure_retention;
}

bool membership::is_directly_reachable(std::string_view name) const {
    const member* target = members_.find(name);
    return target != nullptr && target->running() && !failed_recently(*target);
}

std::vector<std::string> membership::relay_candidates(std::string_view name) const {
    const member* target = members_.find(name);
    if (target == nullptr) {
        return {};
    }
    // The last successful relay, then nodes in a third zone, then in the target's zone, then in this zone.
    const auto rank = [&](const member& value) {
        if (value.identity.name == target->last_relay) {
            return 0;
        }
        if (value.availability_zone == self_.availability_zone) {
            return 3;
        }
        return value.availability_zone == target->availability_zone ? 2 : 1;
    };
    std::vector<std::tuple<int, std::uint64_t, const member*>> ranked;
    for (const member* value : members_.running()) {
        if (value != target && value->state == node_state::alive && !value->draining &&
            !failed_recently(*value)) {
            // The hash distributes the relayed requests of different nodes over different relays.
            ranked.emplace_back(rank(*value),
                                stable_hash(value->identity.name, identity_hash(self_.identity)), value);
        }
    }
    const std::size_t count = std::min(max_relay_candidates, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(std::get<2>(ranked[i])->identity.name);
    }
    return names;
}

std::vector<std::string> membership::nodes_below_version(std::uint64_t version) const {
    std::vector<std::string> names;
    if (self_.table_version < version) {
        names.push_back(self_.identity.name);
    }
    for (const member* value : members_.running()) {
        if (value->table_version < version) {
            names.push_back(value->identity.name);
        }
    }
    return names;
}

}  // namespace teaselpitch
