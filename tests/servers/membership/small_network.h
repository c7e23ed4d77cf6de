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

/// Many nodes in one process on a manual clock, joined by a network with a fixed delay, random loss and cuts.
class small_network {
public:
    struct node {
        std::string zone;
        bool up = true;
        std::unique_ptr<membership> members;
        std::unique_ptr<target_registry> targets;
        std::unique_ptr<state_sync> sync;
        steady_time next_tick;
        std::size_t deaths = 0;  ///< Deaths that this node declared or accepted.
        std::size_t drains = 0;  ///< Changes that told of a draining node.
    };

    static constexpr std::chrono::milliseconds delay{2};
    static constexpr std::chrono::milliseconds tick{100};

    small_network(std::size_t count, std::size_t zones, std::uint64_t seed) : random_(seed) {
        for (std::size_t i = 0; i < count; ++i) {
            nodes.push_back(std::make_unique<node>());
            nodes[i]->zone = "z" + std::to_string(i % zones);
            start(i, 1000);
        }
    }

    void start(std::size_t i, std::uint64_t incarnation) {
        node& created = *nodes[i];
        membership_self self{{"n" + std::to_string(i), incarnation}, created.zone, at(i), at(i), 0};
        created.up = true;
        created.targets = std::make_unique<target_registry>(clock, self.identity, target_registry_options{},
                                                            target_registry_hooks{});
        membership_hooks hooks;
        hooks.on_change = [&created](const member_change& change) {
            created.deaths += change.after == node_state::dead && change.before != change.after ? 1U : 0U;
            created.drains += change.after == node_state::alive && change.who->draining ? 1U : 0U;
            created.targets->on_node(change.who->identity, change.who->running());
        };
        hooks.on_fact = [&created](const wire::Fact& fact) { return created.targets->apply(fact); };
        std::vector<endpoint> seeds;
        if (i != 0) {
            seeds.push_back(at(0));
        }
        created.members = std::make_unique<membership>(clock, std::mt19937_64(random_()), self, seeds,
                                                       membership_options{}, hooks);
        created.sync = std::make_unique<state_sync>(*created.members, *created.targets);
        created.next_tick = clock.now() + std::chrono::milliseconds(random_() % tick.count());
    }

    static endpoint at(std::size_t i) { return {"10.0.0.1", static_cast<std::uint16_t>(i + 1)}; }
    static std::string name(std::size_t i) { return "n" + std::to_string(i); }

    void run(std::chrono::milliseconds duration,
             std::chrono::milliseconds step = std::chrono::milliseconds(5)) {
        const steady_time end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(step);
            deliver();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                node& self = *nodes[i];
                if (self.up && clock.now() >= self.next_tick) {
                    self.next_tick = clock.now() + tick;
                    for (const wire::Fact& fact : self.targets->on_tick()) {
                        perform(i, self.members->gossip(fact));
                    }
                    perform(i, self.members->on_tick());
                }
            }
        }
    }

    /// Runs until the condition holds; returns the time it took, or the limit plus one second.
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

    void perform(std::size_t from, membership_output output) {
        for (outgoing_datagram& datagram : output.datagrams) {
            BOOST_REQUIRE(datagram.payload.size() <= 1400U);
            in_flight_.emplace(clock.now() + delay, flight{from, std::move(datagram)});
        }
        if (output.sync_with.has_value()) {
            exchange(from, output.sync_with->port - 1U);
        }
    }

    /// One anti-entropy exchange; it needs the path both ways, as TCP does.
    void exchange(std::size_t from, std::size_t to) {
        if (!passes(from, to) || !passes(to, from)) {
            return;
        }
        for (int round = 0; round < 20; ++round) {
            const auto leaves = nodes[to]->sync->answer_groups(nodes[from]->sync->groups_request());
            const auto request = nodes[from]->sync->facts_request(leaves.value());
            if (!request.value().has_value()) {
                return;
            }
            const auto answer = nodes[to]->sync->answer_facts(**request);
            BOOST_REQUIRE(nodes[from]->sync->merge(answer.value()).ok());
        }
    }

    bool passes(std::size_t from, std::size_t to) {
        return to < nodes.size() && nodes[from]->up && nodes[to]->up && (!cut || !cut(from, to));
    }

    /// Every running node has every other running node in this state.
    bool all_see(node_state state, std::size_t subject) {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            const member* seen = nodes[i]->members->find(name(subject));
            if (i != subject && nodes[i]->up && (seen == nullptr || seen->state != state)) {
                return false;
            }
        }
        return true;
    }

    bool all_alive() {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!all_see(node_state::alive, i)) {
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
    std::function<bool(std::size_t from, std::size_t to)> cut;

private:
    struct flight {
        std::size_t from;
        outgoing_datagram datagram;
    };

    void deliver() {
        while (!in_flight_.empty() && in_flight_.begin()->first <= clock.now()) {
            const flight item = std::move(in_flight_.extract(in_flight_.begin()).mapped());
            const std::size_t to = item.datagram.to.port - 1U;
            const bool lost = std::uniform_real_distribution<double>(0, 1)(random_) < loss;
            if (!lost && passes(item.from, to)) {
                perform(to, nodes[to]->members->on_datagram(at(item.from),
                                                            std::as_bytes(std::span(item.datagram.payload))));
            }
        }
    }

    std::mt19937_64 random_;
    std::multimap<steady_time, flight> in_flight_;
};

}  // namespace teaselpitch
