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
const std::vector<node_place> all_places{{a, "bne"}, {b, "ips"}, {c, "gc"}, {d, "ips"}};

/// The policy of one node in a fleet where a holds the slot and b and c are its candidates.
struct policy_of {
    manual_time_source clock;
    takeover_policy policy;
    slot_map map;

    explicit policy_of(const node_identity& self) : policy(clock, {}, self) {
        std::vector<slot_assignment> assignments;
        for (std::uint32_t i = 0; i < slots_per_service; ++i) {
            assignments.push_back({.slot = {"limits", i}, .epoch = 10, .holder = a, .candidates = {b, c}});
        }
        map.adopt(assignments);
        policy.on_places("limits", all_places);
        policy.on_alive_nodes({a, b, c, d});
    }

    /// Ticks once a second; the first change of the slot and the second in which it came.
    std::optional<slot_change> first_change(int seconds, int& second) {
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

// Guards against needless appends: a healthy slot needs no change by any node.
BOOST_AUTO_TEST_CASE(healthy_slots_stay) {
    for (const node_identity& self : {a, b, c, d}) {
        policy_of node(self);
        int second = 0;
        BOOST_TEST(!node.first_change(60, second).has_value());
    }
}

// Guards against candidates that race for a dead holder, and against a slot that nobody takes over.
BOOST_AUTO_TEST_CASE(candidates_take_over_in_turn) {
    int first = 0;
    int second = 0;
    int alone = 0;
    policy_of at_b(b);
    at_b.policy.on_alive_nodes({b, c, d});
    const auto by_b = at_b.first_change(60, first);
    policy_of at_c(c);
    at_c.policy.on_alive_nodes({b, c, d});
    const auto by_c = at_c.first_change(60, second);
    policy_of without_b(c);
    without_b.policy.on_alive_nodes({c, d});
    without_b.first_change(60, alone);
    BOOST_REQUIRE(by_b.has_value());
    BOOST_REQUIRE(by_c.has_value());
    BOOST_TEST((by_b->kind == slot_change_kind::take_over));
    BOOST_TEST((by_b->next.holder == b));
    BOOST_TEST(by_b->next.previous_epoch == 10U);
    BOOST_TEST(second - first >= 2);
    BOOST_TEST(alone == first);
    policy_of at_d(d);
    at_d.policy.on_alive_nodes({b, c, d});
    int never = 0;
    BOOST_TEST(!at_d.first_change(60, never).has_value());
}

// Guards against a holder whose dead candidate cannot promise and that stays with it, and against a renewal
// for each short absence.
BOOST_AUTO_TEST_CASE(holder_renews_for_a_dead_candidate) {
    policy_of node(a);
    node.policy.on_alive_nodes({a, b, d});
    node.policy.on_places("limits", {{a, "bne"}, {b, "ips"}, {d, "ips"}});
    int second = 0;
    const auto change = node.first_change(60, second);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->kind == slot_change_kind::renew));
    BOOST_TEST((change->next.holder == a));
    BOOST_TEST(change->next.candidates.size() == 2U);
    BOOST_TEST(second >= 10);
}

// Guards against a draining node that keeps its slots or hands them to a node that cannot run them.
BOOST_AUTO_TEST_CASE(draining_holder_hands_over) {
    policy_of node(a);
    node.policy.set_draining();
    node.policy.on_alive_nodes({a, c, d});
    int second = 0;
    const auto change = node.first_change(60, second);
    BOOST_REQUIRE(change.has_value());
    BOOST_TEST((change->kind == slot_change_kind::hand_over));
    BOOST_TEST((change->successor == c));
    BOOST_TEST(change->next.planned);
    BOOST_TEST(second == 0);
    policy_of candidate(b);
    candidate.policy.set_draining();
    candidate.policy.on_alive_nodes({b, c, d});
    BOOST_TEST(!candidate.first_change(60, second).has_value());
}

// Guards against a slot that stops for the length of an outage, because its holder handed it over without a
// log.
BOOST_AUTO_TEST_CASE(nothing_changes_without_the_log) {
    policy_of node(a);
    node.policy.set_draining();
    node.policy.set_log_reachable(false);
    int second = 0;
    BOOST_TEST(!node.first_change(60, second).has_value());
    node.policy.set_log_reachable(true);
    BOOST_TEST(node.first_change(1, second).has_value());
}

// Guards against several nodes that append the first assignment, or none.
BOOST_AUTO_TEST_CASE(one_node_proposes_the_first_assignment) {
    int proposals = 0;
    for (const node_identity& self : {a, b, c, d}) {
        policy_of node(self);
        node.map = slot_map();
        int second = 0;
        const auto change = node.first_change(10, second);
        proposals += change.has_value() ? 1 : 0;
        BOOST_TEST((!change || (change->kind == slot_change_kind::first && change->next.holder == self)));
        BOOST_TEST((!change || second >= 2));
    }
    BOOST_TEST(proposals == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
