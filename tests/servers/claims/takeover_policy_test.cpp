#include "servers/claims/takeover_policy.h"

#include <boost/test/unit_test.hpp>
#include <optional>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

const slot_id slot{"limits", 7};
const node_identity a{"a", 1};
const node_identity b{"b", 1};
const node_identity c{"c", 1};
const node_identity d{"d", 1};
const std::vector<eligible_node> all_nodes{{a, "bne"}, {b, "ips"}, {c, "gc"}, {d, "ips"}};

/// Takeover policy of one node in a fleet where a holds all slots with the candidates b and c.
struct policy_fixture {
    manual_time_source clock;
    takeover_policy policy;
    slot_map map;

    explicit policy_fixture(const node_identity& self) : policy(clock, {}, self) {
        std::vector<slot_assignment> assignments;
        for (std::uint32_t i = 0; i < slots_per_service; ++i) {
            assignments.push_back({.slot = {"limits", i}, .epoch = 10, .holder = a, .candidates = {b, c}});
        }
        map.merge_newer(assignments);
        policy.on_eligible_nodes("limits", all_nodes);
        policy.on_alive_nodes({a, b, c, d});
    }

    /// Calls on_tick() once a second and returns the first change of the slot; sets the second in which it
    /// was proposed.
    std::optional<slot_change> run_until_change(int seconds, int& second) {
        for (second = 0; second < seconds; ++second) {
            for (slot_change& change : policy.on_tick(map)) {
                if (change.next.slot == slot) {
                    return std::move(change);
                }
            }
            clock.advance(1s);
        }
        return std::nullopt;
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(takeover_proposals)

// Guards against unnecessary appends: no node may propose a change of a healthy slot.
BOOST_AUTO_TEST_CASE(healthy_slots_are_not_changed) {
    for (const node_identity& self : {a, b, c, d}) {
        policy_fixture node(self);
        int second = 0;
        BOOST_TEST(!node.run_until_change(60, second).has_value());
    }
}

// Guards against candidates that race to replace a dead holder, and against a slot that no node takes over.
BOOST_AUTO_TEST_CASE(candidates_take_over_one_after_another) {
    int first = 0;
    int second = 0;
    int second_without_b = 0;
    policy_fixture at_b(b);
    at_b.policy.on_alive_nodes({b, c, d});
    const auto by_b = at_b.run_until_change(60, first);
    policy_fixture at_c(c);
    at_c.policy.on_alive_nodes({b, c, d});
    const auto by_c = at_c.run_until_change(60, second);
    policy_fixture without_b(c);
    without_b.policy.on_alive_nodes({c, d});
    without_b.run_until_change(60, second_without_b);
    BOOST_REQUIRE(by_b.has_value());
    BOOST_REQUIRE(by_c.has_value());
    BOOST_TEST((by_b->kind == slot_change_kind::take_over));
    BOOST_TEST((by_b->next.holder == b));
    BOOST_TEST(by_b->next.previous_epoch == 10U);
    BOOST_TEST(second - first >= 2);
    BOOST_TEST(second_without_b == first);
    policy_fixture at_d(d);
    at_d.policy.on_alive_nodes({b, c, d});
    int unused = 0;
    BOOST_TEST(!at_d.run_until_change(60, unused).has_value());
}

// Guards against a holder that does not replace a dead candidate, which cannot promise, and against a renewal
// for every short outage of a candidate.
BOOST_AUTO_TEST_CASE(holder_replaces_a_dead_candidate) {
    policy_fixture node(a);
    node.policy.on_alive_nodes({a, b, d});
    node.policy.on_eligible_nodes("limits", {{a, "bne"}, {b, "ips"}, {d, "ips"}});
    int second = 0;
    const auto change = node.run_until_change(60, second);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->kind == slot_change_kind::renew));
    BOOST_TEST((change->next.holder == a));
    BOOST_TEST(change->next.candidates.size() == 2U);
    BOOST_TEST(second >= 10);
}

// Guards against a draining node that keeps its slots or hands them over to a node that cannot serve them.
BOOST_AUTO_TEST_CASE(draining_holder_hands_over) {
    policy_fixture node(a);
    node.policy.set_draining();
    node.policy.on_alive_nodes({a, c, d});
    int second = 0;
    const auto change = node.run_until_change(60, second);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->kind == slot_change_kind::hand_over));
    BOOST_TEST((change->successor == c));
    BOOST_TEST(change->next.planned);
    BOOST_TEST(second == 0);
    policy_fixture candidate(b);
    candidate.policy.set_draining();
    candidate.policy.on_alive_nodes({b, c, d});
    BOOST_TEST(!candidate.run_until_change(60, second).has_value());
}

// Guards against a slot that is blocked during an outage of the log because its holder started a hand-over.
BOOST_AUTO_TEST_CASE(no_change_is_proposed_without_the_log) {
    policy_fixture node(a);
    node.policy.set_draining();
    node.policy.set_log_reachable(false);
    int second = 0;
    BOOST_TEST(!node.run_until_change(60, second).has_value());
    node.policy.set_log_reachable(true);
    BOOST_TEST(node.run_until_change(1, second).has_value());
}

// Guards against several nodes, or no node, appending the first assignment.
BOOST_AUTO_TEST_CASE(one_node_proposes_the_first_assignment) {
    int proposals = 0;
    for (const node_identity& self : {a, b, c, d}) {
        policy_fixture node(self);
        node.map = slot_map();
        int second = 0;
        const auto change = node.run_until_change(10, second);
        proposals += change.has_value() ? 1 : 0;
        BOOST_TEST((!change || (change->kind == slot_change_kind::first && change->next.holder == self)));
        BOOST_TEST((!change || second >= 2));
    }
    BOOST_TEST(proposals == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
