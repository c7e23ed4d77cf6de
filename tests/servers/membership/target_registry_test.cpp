#include <rapidcheck.h>

#include <algorithm>
#include <cstdlib>

#include "servers/membership/gossip_queue.h"
#include "servers/membership/target_registry.h"
#include "tests/servers/membership/simulated_network.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(target_facts)

using namespace std::chrono_literals;

// RapidCheck reads its seed once, before the first property. A fixed seed makes every run check the same
// cases.
const int seed_is_fixed = setenv("RC_PARAMS", "seed=2026", 1);

target_announcement ready(const std::string& name) {
    return {{name, 1}, "vitrine", 4, announced_state::ready};
}

announced_state state_at(const target_registry& targets, const std::string& name) {
    const auto found = targets.find(name);
    return found.has_value() ? found->state : announced_state::gone;
}

wire::Fact random_fact() {
    wire::Fact fact;
    wire::TargetFact& target = *fact.mutable_target();
    target.set_name("t" + std::to_string(*rc::gen::inRange(0, 4)));
    target.set_incarnation(*rc::gen::inRange<std::uint64_t>(1, 4));
    target.set_sequence(*rc::gen::inRange<std::uint64_t>(1, 6));
    // The content is derived from incarnation and sequence, because an origin writes one fact for each of
    // them.
    const std::uint64_t mix = target.incarnation() * 7 + target.sequence() * 3;
    target.set_service("s" + std::to_string(mix % 2));
    target.set_node("n" + std::to_string(mix % 3));
    target.set_node_incarnation(5);
    target.set_state(static_cast<wire::TargetFact::State>(mix % 4));
    target.set_slots(static_cast<std::uint32_t>(mix));
    target.set_departed(target.sequence() == 2);
    return fact;
}

// Guards against views that depend on the order of facts and node states or on duplicates.
BOOST_AUTO_TEST_CASE(any_order_gives_the_same_view) {
    const bool passed = rc::check([] {
        manual_time_source clock;
        const auto facts = *rc::gen::container<std::vector<wire::Fact>>(rc::gen::exec(random_fact));
        auto shuffled = facts;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937_64(facts.size()));
        shuffled.insert(shuffled.end(), facts.begin(),
                        facts.begin() + static_cast<std::ptrdiff_t>(facts.size() / 2));
        target_registry first(clock, {"a", 1}, {}, {});
        target_registry second(clock, {"a", 1}, {}, {});
        first.on_node_state({"n0", 5}, true);
        first.on_node_state({"n1", 5}, true);
        for (const wire::Fact& fact : facts) {
            first.apply(fact);
        }
        for (const wire::Fact& fact : shuffled) {
            second.apply(fact);
        }
        second.on_node_state({"n1", 5}, true);
        second.on_node_state({"n0", 5}, true);
        RC_ASSERT(first.size() == second.size());
        RC_ASSERT(std::equal(first.digest().groups().begin(), first.digest().groups().end(),
                             second.digest().groups().begin()));
        for (int i = 0; i < 4; ++i) {
            const auto left = first.find("t" + std::to_string(i));
            const auto right = second.find("t" + std::to_string(i));
            RC_ASSERT(left.has_value() == right.has_value());
            if (!left.has_value()) {
                continue;
            }
            RC_ASSERT(left->state == right->state);
            RC_ASSERT(left->slots == right->slots);
            RC_ASSERT(left->service == right->service);
            RC_ASSERT(left->node == right->node);
            RC_ASSERT(left->node != "n2" || left->state == announced_state::gone);
        }
    });
    BOOST_TEST(passed);
}

// Guards against a target that stays after its renewals stopped, or is removed while it renews.
BOOST_AUTO_TEST_CASE(target_is_gone_after_three_missed_renewals) {
    manual_time_source clock;
    target_registry targets(clock, {"a", 100}, {}, {});
    BOOST_TEST(targets.announce(ready("t1")).value().has_value());
    for (int i = 0; i < 5; ++i) {
        clock.advance(1s);
        BOOST_TEST(!targets.announce(ready("t1")).value().has_value());
        BOOST_TEST(targets.on_tick().empty());
    }
    clock.advance(2900ms);
    BOOST_TEST(targets.on_tick().empty());
    clock.advance(200ms);
    const auto ended = targets.on_tick();
    BOOST_REQUIRE(ended.size() == 1U);
    BOOST_TEST((ended[0].target().state() == wire::TargetFact::GONE));
    BOOST_TEST((state_at(targets, "t1") == announced_state::gone));
    BOOST_TEST(targets.size() == 0U);
    BOOST_TEST(targets.announce(ready("t1")).value().has_value());
    BOOST_TEST(targets.size() == 1U);
    target_announcement old = ready("t1");
    old.identity.incarnation = 0;
    BOOST_TEST((targets.announce(old).status().code() == absl::StatusCode::kFailedPrecondition));
}

// Guards against targets that stay after their node stopped, or do not return with it, and against targets of
// the previous incarnation that count as targets of the new one.
BOOST_AUTO_TEST_CASE(target_state_follows_the_node) {
    manual_time_source clock;
    target_registry origin(clock, {"b", 100}, {}, {});
    const wire::Fact fact = *origin.announce(ready("t1")).value();
    std::vector<announced_state> notified_states;
    target_registry_hooks hooks;
    hooks.on_change = [&](const target_view& view) { notified_states.push_back(view.state); };
    target_registry targets(clock, {"a", 1}, {}, hooks);
    BOOST_TEST(targets.apply(fact));
    BOOST_TEST((state_at(targets, "t1") == announced_state::gone));
    targets.on_node_state({"b", 100}, true);
    BOOST_TEST((state_at(targets, "t1") == announced_state::ready));
    targets.on_node_state({"b", 100}, false);
    BOOST_TEST((state_at(targets, "t1") == announced_state::gone));
    targets.on_node_state({"b", 100}, true);
    BOOST_TEST((state_at(targets, "t1") == announced_state::ready));
    targets.on_node_state({"b", 200}, true);
    BOOST_TEST((state_at(targets, "t1") == announced_state::gone));
    const std::vector<announced_state> expected{announced_state::gone, announced_state::ready,
                                                announced_state::gone, announced_state::ready,
                                                announced_state::gone};
    BOOST_TEST((notified_states == expected));
}

// Guards against a leaving target that is still ready on some node after 2 s.
BOOST_AUTO_TEST_CASE(leaving_spreads_within_two_seconds) {
    simulated_network network(200, 3, 21);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.loss = 0.02;
    const auto all_nodes_see = [&](announced_state state) {
        return std::all_of(network.nodes.begin(), network.nodes.end(),
                           [&](const auto& node) { return state_at(*node->targets, "t1") == state; });
    };
    const auto announce = [&](announced_state state) {
        target_announcement announcement = ready("t1");
        announcement.state = state;
        const auto fact = network.nodes[9]->targets->announce(announcement).value();
        if (fact.has_value()) {
            network.send_output(9, network.nodes[9]->members->gossip(*fact));
        }
    };
    for (int i = 0; i < 20; ++i) {
        announce(announced_state::ready);
        network.run(1s);
    }
    BOOST_TEST(all_nodes_see(announced_state::ready));
    announce(announced_state::leaving);
    const auto took = network.run_until([&] { return all_nodes_see(announced_state::leaving); }, 3s);
    BOOST_TEST(took.count() <= 2000);
}

target_announcement departing(const std::string& name) {
    target_announcement announcement = ready(name);
    announcement.state = announced_state::leaving;
    announcement.departed = true;
    return announcement;
}

// Guards against a target that has announced that it leaves and is in use again, because its node has
// restarted and takes a late announcement for a new one.
BOOST_AUTO_TEST_CASE(restarted_node_does_not_bring_back_a_departed_target) {
    manual_time_source clock;
    target_registry before(clock, {"b", 100}, {}, {});
    std::vector<wire::Fact> told;
    target_registry_hooks hooks;
    hooks.on_departed_announced = [&](const std::string& node, const wire::Fact& departure) {
        BOOST_TEST(node == "b");
        told.push_back(departure);
    };
    target_registry observer(clock, {"a", 1}, {}, hooks);
    observer.on_node_state({"b", 100}, true);
    observer.apply(*before.announce(ready("t1")).value());
    observer.apply(*before.announce(departing("t1")).value());
    BOOST_TEST((state_at(observer, "t1") == announced_state::leaving));
    observer.on_node_state({"b", 200}, true);
    BOOST_TEST(observer.departures_of("b").size() == 1U);
    BOOST_TEST(observer.departures_of("unknown").empty());

    target_registry restarted(clock, {"b", 200}, {}, {});
    const wire::Fact late = *restarted.announce(ready("t1")).value();
    BOOST_TEST(!observer.apply(late));
    BOOST_TEST((state_at(observer, "t1") == announced_state::gone));
    BOOST_TEST_REQUIRE(told.size() == 1U);
    BOOST_TEST(restarted.apply(told[0]));
    BOOST_TEST((state_at(restarted, "t1") == announced_state::gone));
    BOOST_TEST((restarted.announce(ready("t1")).status().code() == absl::StatusCode::kFailedPrecondition));
    target_announcement successor = ready("t1");
    successor.identity.incarnation = 2;
    const auto next = restarted.announce(successor).value();
    BOOST_TEST_REQUIRE(next.has_value());
    BOOST_TEST(observer.apply(*next));
    BOOST_TEST((state_at(observer, "t1") == announced_state::ready));
}

// Guards against a target that stays out of use after only its node has stopped and started again.
BOOST_AUTO_TEST_CASE(target_of_a_restarted_node_becomes_ready_again) {
    manual_time_source clock;
    target_registry before(clock, {"b", 100}, {}, {});
    target_registry observer(clock, {"a", 1}, {}, {});
    target_announcement leaving = ready("t1");
    leaving.state = announced_state::leaving;
    observer.on_node_state({"b", 100}, true);
    observer.apply(*before.announce(ready("t1")).value());
    observer.apply(*before.announce(leaving).value());
    observer.on_node_state({"b", 200}, true);
    BOOST_TEST(observer.departures_of("b").empty());
    target_registry restarted(clock, {"b", 200}, {}, {});
    BOOST_TEST(observer.apply(*restarted.announce(ready("t1")).value()));
    BOOST_TEST((state_at(observer, "t1") == announced_state::ready));
}

// Guards against a departure that only the nodes know that were up when it was announced, and against
// departures that are kept forever.
BOOST_AUTO_TEST_CASE(departures_reach_a_restarted_node_by_sync) {
    simulated_network network(3, 1, 24);
    network.run_until([&] { return network.all_alive(); }, 30s);
    const auto announce = [&](const target_announcement& announcement) {
        const auto fact = network.nodes[1]->targets->announce(announcement).value();
        network.send_output(1, network.nodes[1]->members->gossip(*fact));
    };
    announce(ready("t1"));
    network.run(2s);
    announce(departing("t1"));
    network.run(1s);
    network.start(1, 2000);
    network.run(500ms);
    (void)network.nodes[1]->targets->announce(ready("t1"));
    network.exchange(1, 0);
    BOOST_TEST((state_at(*network.nodes[1]->targets, "t1") == announced_state::gone));
    BOOST_TEST((state_at(*network.nodes[0]->targets, "t1") == announced_state::gone));
    network.run(700s, 1s);
    for (const auto& node : network.nodes) {
        BOOST_TEST(!node->targets->find("t1").has_value());
    }
}

// Guards against a state exchange that misses a difference, or sends facts that both sides have.
BOOST_AUTO_TEST_CASE(sync_exchanges_only_differences) {
    simulated_network network(2, 1, 22);
    network.run_until([&] { return network.all_alive(); }, 30s);
    for (int i = 0; i < 5000; ++i) {
        (void)network.nodes[0]->targets->announce(ready("a" + std::to_string(i)));
        (void)network.nodes[1]->targets->announce(ready("b" + std::to_string(i)));
    }
    network.exchange(0, 1);
    BOOST_TEST(network.nodes[0]->targets->size() == 10'000U);
    BOOST_TEST(network.nodes[1]->targets->size() == 10'000U);
    state_sync& initiator = *network.nodes[0]->sync;
    state_sync& responder = *network.nodes[1]->sync;
    BOOST_TEST(!initiator.facts_request(responder.answer_groups(initiator.groups_request()).value())
                    .value()
                    .has_value());
    (void)network.nodes[0]->targets->announce(ready("new"));
    const auto request =
        initiator.facts_request(responder.answer_groups(initiator.groups_request()).value()).value();
    BOOST_REQUIRE(request.has_value());
    BOOST_TEST(request->size() < 2000U);
    BOOST_TEST(responder.answer_facts(*request).ok());
    BOOST_TEST((state_at(*network.nodes[1]->targets, "new") == announced_state::ready));
    BOOST_TEST(!responder.answer_facts("\xff\xff").ok());
    BOOST_TEST(!responder.answer_groups("").ok());
}

// Guards against verdicts and quarantines that are gossiped forever or are never received.
BOOST_AUTO_TEST_CASE(verdicts_and_quarantines_are_accepted_once) {
    manual_time_source clock;
    std::size_t verdicts = 0;
    std::size_t quarantines = 0;
    target_registry_hooks hooks;
    hooks.on_verdict = [&](const auto&) { ++verdicts; };
    hooks.on_quarantine = [&](const auto&) { ++quarantines; };
    target_registry targets(clock, {"a", 1}, {}, hooks);
    wire::Fact verdict;
    verdict.mutable_verdict()->set_target("t1");
    verdict.mutable_verdict()->set_origin_node("b");
    verdict.mutable_verdict()->set_sequence(1);
    BOOST_TEST(targets.apply(verdict));
    BOOST_TEST(!targets.apply(verdict));
    verdict.mutable_verdict()->set_sequence(2);
    BOOST_TEST(targets.apply(verdict));
    wire::Fact quarantine;
    quarantine.mutable_quarantine()->set_fingerprint(7);
    quarantine.mutable_quarantine()->set_remaining_ms(300'000);
    BOOST_TEST(targets.apply(quarantine));
    clock.advance(5s);
    BOOST_TEST(!targets.apply(quarantine));
    clock.advance(60s);
    BOOST_TEST(targets.apply(quarantine));
    BOOST_TEST(verdicts == 2U);
    BOOST_TEST(quarantines == 2U);
}

// Guards against a crash that counts twice, an own crash that comes back, and a crash that is never passed
// on.
BOOST_AUTO_TEST_CASE(crashes_are_accepted_once) {
    manual_time_source clock;
    std::vector<std::uint64_t> received;
    target_registry_hooks hooks;
    hooks.on_crash = [&](const wire::CrashFact& fact) { received.push_back(fact.sequence()); };
    target_registry targets(clock, {"a", 1}, {}, hooks);
    wire::Fact fact;
    wire::CrashFact& crash = *fact.mutable_crash();
    crash.set_origin_node("b");
    crash.set_origin_incarnation(1);
    for (const std::uint64_t sequence : {2, 1, 2, 1}) {
        crash.set_sequence(sequence);
        targets.apply(fact);
    }
    crash.set_origin_incarnation(2);
    BOOST_TEST(targets.apply(fact));
    crash.set_origin_node("a");
    BOOST_TEST(!targets.apply(fact));
    BOOST_TEST(received == (std::vector<std::uint64_t>{2, 1, 1}), boost::test_tools::per_element());
}

// Guards against an older count of successes that replaces a newer one, and against counts that are never
// passed on.
BOOST_AUTO_TEST_CASE(newer_counts_of_successes_are_accepted) {
    manual_time_source clock;
    std::vector<std::uint64_t> received;
    target_registry_hooks hooks;
    hooks.on_success = [&](const wire::SuccessFact& fact) { received.push_back(fact.successes()); };
    target_registry targets(clock, {"a", 1}, {}, hooks);
    wire::Fact fact;
    wire::SuccessFact& success = *fact.mutable_success();
    success.set_fingerprint(7);
    success.set_origin_node("b");
    for (const auto& [sequence, successes] :
         std::vector<std::pair<int, int>>{{2, 50}, {2, 50}, {1, 60}, {3, 4}}) {
        success.set_sequence(static_cast<std::uint64_t>(sequence));
        success.set_successes(static_cast<std::uint64_t>(successes));
        targets.apply(fact);
    }
    BOOST_TEST(received == (std::vector<std::uint64_t>{50, 4}), boost::test_tools::per_element());
    success.set_origin_node("a");
    BOOST_TEST(!targets.apply(fact));
}

// Guards against a crash that reaches the other nodes, also those of other zones, only after further crashes.
BOOST_AUTO_TEST_CASE(crash_spreads_within_a_second) {
    simulated_network network(100, 4, 23);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.loss = 0.02;
    std::size_t received = 0;
    network.on_crash = [&](const wire::CrashFact&) { ++received; };
    wire::Fact fact;
    wire::CrashFact& crash = *fact.mutable_crash();
    crash.set_origin_node(simulated_network::node_name(9));
    crash.set_origin_incarnation(1000);
    crash.set_sequence(1);
    network.send_output(9, network.nodes[9]->members->gossip(fact));
    const auto took = network.run_until([&] { return received == network.nodes.size() - 1; }, 3s);
    BOOST_TEST(took.count() <= 1000);
}

// Guards against unbounded retransmission, datagrams above the size limit, and new facts that are sent after
// older ones.
BOOST_AUTO_TEST_CASE(queue_is_bounded_and_newest_first) {
    const bool passed = rc::check([] {
        gossip_queue queue({.ordinary = *rc::gen::inRange<std::size_t>(1, 4),
                            .urgent = *rc::gen::inRange<std::size_t>(1, 6)});
        const auto facts = *rc::gen::inRange<std::size_t>(1, 60);
        const auto size = *rc::gen::inRange<std::size_t>(1, 300);
        const auto nodes = *rc::gen::inRange<std::size_t>(1, 4000);
        std::size_t most = 0;
        for (std::size_t i = 0; i < facts; ++i) {
            const auto urgency = *rc::gen::element(fact_urgency::ordinary, fact_urgency::urgent);
            queue.push("s" + std::to_string(i), std::string(size, static_cast<char>('a' + i % 26)), urgency);
            most += queue.transmissions(nodes, urgency);
        }
        RC_ASSERT(queue.size() == facts);
        std::size_t sent = 0;
        for (bool first = true; queue.size() > 0; first = false) {
            std::string datagram;
            queue.append_to(datagram, 1400, nodes);
            wire::Datagram message;
            RC_ASSERT(datagram.size() <= 1400U && !datagram.empty());
            RC_ASSERT(!first || datagram[size > 127 ? 3 : 2] == static_cast<char>('a' + (facts - 1) % 26));
            sent += datagram.size() / (size + (size > 127 ? 3 : 2));
            RC_ASSERT(sent <= most);
        }
        RC_ASSERT(sent == most);
    });
    BOOST_TEST(passed);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
