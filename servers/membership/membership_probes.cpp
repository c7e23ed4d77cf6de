#include <algorithm>
#include <tuple>
#include <utility>

#include "servers/membership/membership.h"

// The timed part of membership: probes, suspicion, seeds, pushes and the choice of relays.

namespace teaselpitch {
namespace {

constexpr std::size_t most_detours = 3;
// Suspicions on each ping, about 80 bytes each.
constexpr std::size_t most_suspects_told = 5;
constexpr std::chrono::milliseconds relay_memory{2000};

}  // namespace

membership_output membership::on_tick() {
    const steady_time now = clock_.now();
    if (left_) {
        push_if_due();
        return take_output();
    }
    check_probes();
    check_suspects();
    start_probes();
    contact_seeds();
    choose_sync();
    std::erase_if(relayed_, [now](const auto& item) { return now - item.second.sent > relay_memory; });
    members_.forget(now, options_.dead_memory);
    push_if_due();
    return take_output();
}

void membership::start_probes() {
    const steady_time now = clock_.now();
    if (now >= next_probe_) {
        next_probe_ = std::max(next_probe_ + options_.probe_interval, now);
        if (const member* target = next_in_order()) {
            probe_member(*target, probe_kind::member);
        }
    }
    if (now >= next_ring_probe_) {
        next_ring_probe_ = std::max(next_ring_probe_ + options_.probe_interval, now);
        if (const member* target = members_.successor(self_.identity.name)) {
            probe_member(*target, probe_kind::ring);
        }
    }
    if (now >= next_dead_probe_) {
        next_dead_probe_ = now + options_.dead_probe_interval;
        std::vector<const member*> dead;
        for (const member* value : members_.stopped()) {
            if (value->state == node_state::dead) {
                dead.push_back(value);
            }
        }
        if (!dead.empty()) {
            probe_member(*dead[random_() % dead.size()], probe_kind::dead);
        }
    }
}

const member* membership::next_in_order() {
    for (int round = 0; round < 2; ++round) {
        while (!order_.empty()) {
            const member* target = members_.find(order_.back());
            order_.pop_back();
            if (target != nullptr && target->running()) {
                return target;
            }
        }
        for (const member* value : members_.running()) {
            order_.push_back(value->identity.name);
        }
        std::shuffle(order_.begin(), order_.end(), random_);
    }
    return nullptr;
}

void membership::probe_member(const member& target, probe_kind kind) {
    const std::uint64_t sequence = ++sequence_;
    probes_[sequence] = {target.identity.name, kind, clock_.now()};
    wire::Datagram ping = message(wire::Datagram::PING, sequence);
    ping.set_subject(target.identity.name);
    if (target.state != node_state::alive) {
        // The accused learns of the accusation from the accuser and can refute it.
        *ping.add_facts()->mutable_node() = to_fact(target);
    }
    add_suspects(ping);
    if (kind == probe_kind::dead) {
        *ping.add_facts()->mutable_node() = to_fact(self_);
    }
    send(target.gossip, ping);
}

void membership::add_suspects(wire::Datagram& message) const {
    // A refutation can miss this node; whoever got it answers an old suspicion with it before the deadline.
    std::size_t added = 0;
    for (const member* value : members_.suspects()) {
        if (added++ < most_suspects_told) {
            *message.add_facts()->mutable_node() = to_fact(*value);
        }
    }
}

void membership::check_probes() {
    const steady_time now = clock_.now();
    std::vector<std::pair<std::uint64_t, probe>> missed;
    std::vector<std::string> failed;
    for (auto& [sequence, item] : probes_) {
        if (!item.indirect && now - item.sent >= options_.ack_timeout) {
            item.indirect = true;
            missed.emplace_back(sequence, item);
        }
    }
    for (const auto& [sequence, item] : missed) {
        member* target = members_.find(item.name);
        if (target != nullptr && item.kind != probe_kind::dead) {
            ++target->direct_misses;
            target->last_direct_miss = now;
            ask_others(*target, sequence);
        }
        if (item.kind == probe_kind::ring) {
            probe_behind(item.name);
        }
    }
    for (auto it = probes_.begin(); it != probes_.end();) {
        const probe item = it->second;
        if (now - item.sent < options_.ack_timeout + options_.indirect_timeout) {
            ++it;
            continue;
        }
        it = probes_.erase(it);
        if (item.kind != probe_kind::dead) {
            changed(members_.suspect(item.name, now, item.sent + options_.suspicion));
        }
    }
}

void membership::probe_behind(std::string_view name) {
    // When a zone is lost, neighbours on the ring die together, and the first of them no longer probes the
    // next.
    const member* next = members_.successor(name);
    const bool waiting =
        next != nullptr && std::any_of(probes_.begin(), probes_.end(), [next](const auto& item) {
            return item.second.name == next->identity.name;
        });
    if (next != nullptr && !waiting) {
        probe_member(*next, probe_kind::ring);
    }
}

void membership::ask_others(const member& target, std::uint64_t sequence) {
    for (const member* relay : pick_relays(target)) {
        wire::Datagram request = message(wire::Datagram::PING_REQUEST, sequence);
        request.set_subject(target.identity.name);
        request.set_subject_address(target.gossip.address);
        request.set_subject_port(target.gossip.port);
        send(relay->gossip, request);
    }
}

void membership::check_suspects() {
    for (const std::string& name : members_.overdue(clock_.now())) {
        changed(members_.bury(name, clock_.now()));
    }
}

std::vector<const member*> membership::pick(std::size_t count, std::string_view except) {
    const auto& running = members_.running();
    std::vector<const member*> chosen;
    // A few more draws than needed, because some hit the excluded node or one that was drawn before.
    for (std::size_t draw = 0; draw < count * 4 && chosen.size() < count && !running.empty(); ++draw) {
        const member* value = running[random_() % running.size()];
        const bool known = std::find(chosen.begin(), chosen.end(), value) != chosen.end();
        if (!known && value->identity.name != except) {
            chosen.push_back(value);
        }
    }
    return chosen;
}

std::vector<const member*> membership::pick_relays(const member& target) {
    std::vector<const member*> relays = pick(options_.indirect_probes, target.identity.name);
    // A one-way cut between two zones blocks every relay in either of them, so one relay is in a third zone.
    for (const member* value : pick(options_.indirect_probes * 4, target.identity.name)) {
        const bool third = value->availability_zone != self_.availability_zone &&
                           value->availability_zone != target.availability_zone;
        if (third && value->state == node_state::alive && !relays.empty()) {
            relays.front() = value;
            break;
        }
    }
    return relays;
}

void membership::contact_seeds() {
    const steady_time now = clock_.now();
    for (const endpoint& seed : std::exchange(fresh_seeds_, {})) {
        wire::Datagram greeting = message(wire::Datagram::PING, ++sequence_);
        *greeting.add_facts()->mutable_node() = to_fact(self_);
        send(seed, greeting);
    }
    if (seeds_.empty() || now < next_seed_) {
        return;
    }
    const bool alone = members_.running().empty();
    next_seed_ = now + (alone ? options_.probe_interval : options_.seed_interval);
    wire::Datagram ping = message(wire::Datagram::PING, ++sequence_);
    *ping.add_facts()->mutable_node() = to_fact(self_);
    if (!alone) {
        send(seeds_[random_() % seeds_.size()], ping);
        return;
    }
    for (const endpoint& seed : seeds_) {
        if (seed != self_.gossip) {
            send(seed, ping);
        }
    }
}

void membership::choose_sync() {
    const steady_time now = clock_.now();
    if (now < next_sync_) {
        return;
    }
    next_sync_ = now + options_.sync_interval;
    const std::vector<const member*> chosen = pick(1, self_.identity.name);
    if (!chosen.empty()) {
        output_.sync_with = chosen.front()->peer;
    }
}

void membership::push() {
    for (const member* target : pick(options_.push_fanout, self_.identity.name)) {
        send(target->gossip, message(wire::Datagram::GOSSIP, 0));
    }
}

void membership::push_if_due() {
    const steady_time now = clock_.now();
    if (pushes_ > 0 && now >= next_push_) {
        --pushes_;
        next_push_ = now + options_.push_interval;
        push();
    }
}

membership_output membership::on_direct_result(std::string_view name, bool reached) {
    member* target = members_.find(name);
    if (target == nullptr) {
        return {};
    }
    if (reached) {
        target->direct_misses = 0;
        return {};
    }
    const bool first = !recently_missed(*target);
    ++target->direct_misses;
    target->last_direct_miss = clock_.now();
    if (first && target->running()) {
        probe_member(*target, probe_kind::member);
    }
    return take_output();
}

bool membership::recently_missed(const member& value) const {
    return value.direct_misses > 0 && clock_.now() - value.last_direct_miss < options_.direct_memory;
}

bool membership::reachable_directly(std::string_view name) const {
    const member* target = members_.find(name);
    return target != nullptr && target->running() && !recently_missed(*target);
}

std::vector<std::string> membership::detour_candidates(std::string_view name) const {
    const member* target = members_.find(name);
    if (target == nullptr) {
        return {};
    }
    // The last relay that worked, then nodes in a third zone, then in the target's zone, then in this one.
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
            !recently_missed(*value)) {
            // The hash spreads the detours of different nodes over different relays.
            ranked.emplace_back(rank(*value), stable_hash(value->identity.name, hash_of(self_.identity)),
                                value);
        }
    }
    const std::size_t count = std::min(most_detours, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(count), ranked.end());
    std::vector<std::string> names;
    for (std::size_t i = 0; i < count; ++i) {
        names.push_back(std::get<2>(ranked[i])->identity.name);
    }
    return names;
}

std::vector<std::string> membership::nodes_below(std::uint64_t version) const {
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
