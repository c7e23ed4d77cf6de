#pragma once

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "servers/membership/membership.h"
#include "servers/membership/state_sync.h"
#include "servers/membership/target_registry.h"

namespace teaselpitch {

/// Nodes in one process on a manual clock, connected by a simulated network with a fixed delay, random loss
/// and blocked links.
class simulated_network {
public:
    struct node {
        std::string zone;
        bool up = true;
        std::unique_ptr<membership> members;
        std::unique_ptr<target_registry> targets;
        std::unique_ptr<state_sync> sync;
        steady_time next_tick;
        std::size_t deaths = 0;  ///< Number of deaths that this node declared or accepted.
        std::size_t drains = 0;  ///< Number of changes that reported a draining node.
    };

    static constexpr std::chrono::milliseconds delay{2};
    static constexpr std::chrono::milliseconds tick_interval{100};
    static constexpr std::size_t datagram_overhead = 28;  ///< Bytes of the IP and UDP headers.
    static constexpr std::size_t call_overhead =
        400;  ///< Estimated bytes of headers of a call and its answer.

    simulated_network(std::size_t count, std::size_t zones, std::uint64_t seed) : random_(seed) {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<node>());
            nodes[i]->zone = "z" + std::to_string(i % zones);
            start(i, 1000);
        }
    }

    void start(std::size_t i, std::uint64_t incarnation) {
        node& created = *nodes[i];
        membership_local_node self{
            {"n" + std::to_string(i), incarnation}, created.zone, endpoint_of(i), endpoint_of(i), 0};
        created.up = true;
        target_registry_hooks target_hooks;
        target_hooks.on_crash = [this](const wire::CrashFact& fact) {
            if (on_crash) {
                on_crash(fact);
            }
        };
        created.targets =
            std::make_unique<target_registry>(clock, self.identity, target_registry_options{}, target_hooks);
        membership_hooks hooks;
        hooks.on_change = [&created](const member_change& change) {
            created.deaths +=
                change.new_state == node_state::dead && change.previous_state != change.new_state ? 1U : 0U;
            created.drains +=
                change.new_state == node_state::alive && change.changed_member->draining ? 1U : 0U;
            created.targets->on_node_state(change.changed_member->identity, change.changed_member->running());
        };
        hooks.on_fact = [&created](const wire::Fact& fact) { return created.targets->apply(fact); };
        std::vector<endpoint> seeds;
        if (i != 0) {
            seeds.push_back(endpoint_of(0));
        }
        created.members = std::make_unique<membership>(clock, std::mt19937_64(random_()), self, seeds,
                                                       membership_options{}, hooks);
        created.sync = std::make_unique<state_sync>(*created.members, *created.targets);
        created.next_tick = clock.now() + std::chrono::milliseconds(random_() % tick_interval.count());
    }

    static endpoint endpoint_of(std::size_t i) { return {"10.0.0.1", static_cast<std::uint16_t>(i + 1)}; }
    static std::string node_name(std::size_t i) { return "n" + std::to_string(i); }

    void run(std::chrono::milliseconds duration,
             std::chrono::milliseconds step = std::chrono::milliseconds(5)) {
        const steady_time end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(step);
            deliver();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                node& self = *nodes[i];
                if (self.up && clock.now() >= self.next_tick) {
                    self.next_tick = clock.now() + tick_interval;
                    for (const wire::Fact& fact : self.targets->on_tick()) {
                        send_output(i, self.members->gossip(fact));
                    }
                    send_output(i, self.members->on_tick());
                }
            }
        }
    }

    /// Runs until the condition holds. Returns the elapsed time, or the limit plus one second on a timeout.
    std::chrono::milliseconds run_until(const std::function<bool()>& condition,
                                        std::chrono::milliseconds limit) {
        const steady_time begin = clock.now();
        while (clock.now() - begin <= limit) {
            if (condition()) {
                return std::chrono::duration_cast<std::chrono::milliseconds>(clock.now() - begin);
            }
            run(std::chrono::milliseconds(20));
        }
        return limit + std::chrono::seconds(1);
    }

    void send_output(std::size_t from, membership_output output) {
        for (outgoing_datagram& datagram : output.datagrams) {
            BOOST_REQUIRE(datagram.payload.size() <= 1400U);
            count_bytes(from, datagram.to.port - 1U, datagram.payload.size() + datagram_overhead);
            datagrams_in_flight_.emplace(clock.now() + delay, in_flight_datagram{from, std::move(datagram)});
        }
        if (output.sync_peer.has_value()) {
            exchange(from, output.sync_peer->port - 1U);
        }
    }

    /// Performs one anti-entropy exchange. Requires both directions of the link, as TCP does.
    void exchange(std::size_t from, std::size_t to) {
        if (!can_deliver(from, to) || !can_deliver(to, from)) {
            return;
        }
        for (int round = 0; round < 20; ++round) {
            const std::string groups = nodes[from]->sync->groups_request();
            const auto leaves = nodes[to]->sync->answer_groups(groups);
            count_bytes(from, to, groups.size() + leaves->size() + call_overhead);
            const auto request = nodes[from]->sync->facts_request(leaves.value());
            if (!request.value().has_value()) {
                return;
            }
            const auto answer = nodes[to]->sync->answer_facts(**request);
            count_bytes(from, to, (**request).size() + answer->size() + call_overhead);
            BOOST_REQUIRE(nodes[from]->sync->merge(answer.value()).ok());
        }
    }

    bool can_deliver(std::size_t from, std::size_t to) {
        return to < nodes.size() && nodes[from]->up && nodes[to]->up && (!is_cut || !is_cut(from, to));
    }

    /// Returns whether every other running node has the subject in this state.
    bool all_nodes_see(node_state state, std::size_t subject) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const member* seen = nodes[i]->members->find(node_name(subject));
            if (i != subject && nodes[i]->up && (seen == nullptr || seen->state != state)) {
                return false;
            }
        }
        return true;
    }

    bool all_alive() {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!all_nodes_see(node_state::alive, i)) {
                return false;
            }
        }
        return true;
    }

    std::size_t deaths() const {
        std::size_t sum = 0;
        for (const auto& each : nodes) {
            sum += each->deaths;
        }
        return sum;
    }

    manual_time_source clock;
    std::vector<std::unique_ptr<node>> nodes;
    double loss = 0;
    std::function<bool(std::size_t from, std::size_t to)> is_cut;
    std::function<void(const wire::CrashFact&)>
        on_crash;  ///< Called for each crash fact that is new to a node.
    std::size_t bytes_between_zones = 0;

private:
    void count_bytes(std::size_t from, std::size_t to, std::size_t bytes) {
        if (to < nodes.size() && nodes[from]->zone != nodes[to]->zone) {
            bytes_between_zones += bytes;
        }
    }

    struct in_flight_datagram {
        std::size_t from;
        outgoing_datagram datagram;
    };

    void deliver() {
        while (!datagrams_in_flight_.empty() && datagrams_in_flight_.begin()->first <= clock.now()) {
            const in_flight_datagram item =
                std::move(datagrams_in_flight_.extract(datagrams_in_flight_.begin()).mapped());
            const std::size_t to = item.datagram.to.port - 1U;
            const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < loss;
            if (!lost && can_deliver(item.from, to)) {
                send_output(to, nodes[to]->members->on_datagram(
                                    endpoint_of(item.from), std::as_bytes(std::span(item.datagram.payload))));
            }
        }
    }

    std::mt19937_64 random_;
    std::multimap<steady_time, in_flight_datagram> datagrams_in_flight_;
};

}  // namespace teaselpitch
