#include "servers/claims/slot_holder.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "servers/claims/lease_promises.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

const slot_id slot{"limits", 7};
const node_identity a{"a", 1};
const node_identity b{"b", 1};
const node_identity c{"c", 1};
const slot_options options = make_slot_options({});

slot_assignment assignment(std::uint64_t previous, std::uint64_t epoch, const node_identity& holder) {
    return {.slot = slot, .previous_epoch = previous, .epoch = epoch, .holder = holder, .candidates = {b, c}};
}

/// Holder on node a with a fresh read of the log and one finished key, "known".
struct holder_fixture {
    manual_time_source clock;
    claim_ledger ledger{clock, {}};
    slot_holder holder{clock, options, a, slot, ledger};

    holder_fixture() {
        holder.on_assignment(assignment(0, 10, a));
        holder.on_fresh_log_read(clock.now());
        ledger.finish(slot, "known", holder.decide("known", {}, 1, 0).claim.token, {});
    }

    void lose_slot_and_take_over() {
        holder.on_assignment(assignment(10, 20, b));
        holder.on_assignment(assignment(20, 30, a));
    }

    void transition_to(slot_state state) {
        if (state == slot_state::not_holder) {
            holder.on_assignment(assignment(10, 20, b));
        } else if (state == slot_state::waiting) {
            lose_slot_and_take_over();
        } else if (state == slot_state::first_sends_only) {
            lose_slot_and_take_over();
            clock.advance(options.takeover_wait);
            holder.on_fresh_log_read(clock.now());
        } else if (state == slot_state::handing_over) {
            holder.begin_hand_over();
        } else if (state == slot_state::stale) {
            clock.advance(options.lease + 1ms);
        }
    }
};

struct state_case {
    const char* name;
    slot_state state;
    error_kind first_error;     ///< Expected for a first send without an epoch.
    error_kind unmarked_error;  ///< Expected for any other send of a new key.
};

std::ostream& operator<<(std::ostream& out, const state_case& value) {
    return out << value.name;
}

constexpr state_case state_cases[] = {
    {"not holder", slot_state::not_holder, error_kind::slot_moving, error_kind::slot_moving},
    {"waiting", slot_state::waiting, error_kind::slot_moving, error_kind::slot_moving},
    {"first sends only", slot_state::first_sends_only, error_kind::slot_moving, error_kind::key_in_doubt},
    {"serving", slot_state::serving, error_kind::none, error_kind::none},
    {"handing over", slot_state::handing_over, error_kind::slot_moving, error_kind::slot_moving},
    {"stale", slot_state::stale, error_kind::slot_moving, error_kind::slot_moving},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_holder_states)

// Guards against a run in a state in which another node may run the key, and against a stored answer that is
// not replayed.
BOOST_DATA_TEST_CASE(decides_by_state, state_cases, sample) {
    holder_fixture node;
    node.transition_to(sample.state);
    BOOST_TEST((node.holder.state() == sample.state));
    BOOST_TEST((node.holder.decide("first", {.first_send = true}, 1, 0).claim.error == sample.first_error));
    BOOST_TEST((node.holder.decide("other", {}, 1, 0).claim.error == sample.unmarked_error));
    BOOST_TEST((node.holder.decide("known", {}, 1, 0).claim.action == claim_action::replay));
}

// Guards against a caller that does not receive the epoch it needs for a first send after a takeover.
BOOST_AUTO_TEST_CASE(refusal_contains_the_epoch_of_the_takeover) {
    holder_fixture node;
    node.transition_to(slot_state::first_sends_only);
    const slot_decision refused = node.holder.decide("k", {.first_send = true}, 1, 0);
    BOOST_TEST(refused.slot_epoch == 30U);
    BOOST_TEST((get_error_answer(refused.claim.error).execution == execution_state::not_run));
    const send_mark marked{.first_send = true, .slot_epoch = refused.slot_epoch};
    BOOST_TEST((node.holder.decide("k", marked, 1, 0).claim.action == claim_action::run));
}

// Guards against a write after the proof of freshness expired, after a long pause, or in a later term.
BOOST_AUTO_TEST_CASE(permits_expire) {
    holder_fixture paused;
    const write_permit first_permit = paused.holder.decide("k", {}, 1, 0).permit;
    paused.clock.advance(options.margin + 1ms);
    BOOST_TEST(!paused.holder.may_write_now(first_permit));
    const auto renewed_permit = paused.holder.refresh_permit(first_permit);
    BOOST_REQUIRE(renewed_permit.has_value());
    BOOST_TEST(paused.holder.may_write_now(*renewed_permit));
    paused.clock.advance(options.lease - options.margin);
    BOOST_TEST(!paused.holder.refresh_permit(*renewed_permit).has_value());

    holder_fixture moved;
    const write_permit old_permit = moved.holder.decide("k", {}, 1, 0).permit;
    moved.transition_to(slot_state::first_sends_only);
    BOOST_TEST(!moved.holder.refresh_permit(old_permit).has_value());
}

// Guards against a holder that exported its claims and resumes without a renewed assignment.
BOOST_AUTO_TEST_CASE(exported_slot_resumes_only_after_a_renewal) {
    holder_fixture node;
    BOOST_TEST(!node.holder.export_claims().has_value());
    BOOST_REQUIRE(node.holder.begin_hand_over());
    const auto claims = node.holder.export_claims();
    BOOST_REQUIRE(claims.has_value());
    BOOST_TEST(claims->claims_size() == 1);
    node.holder.on_fresh_log_read(node.clock.now());
    BOOST_TEST((node.holder.state() == slot_state::handing_over));
    node.holder.on_assignment(assignment(10, 20, a));
    BOOST_TEST((node.holder.state() == slot_state::serving));
}

// Guards against holders that become stale during an outage of the log although all candidates promise, and
// against a candidate that breaks its promise.
BOOST_AUTO_TEST_CASE(promises_keep_the_holder_fresh_without_the_log) {
    holder_fixture node;
    promise_collector requests(node.clock, options, a);
    lease_promises at_b(node.clock, options, b);
    lease_promises at_c(node.clock, options, c);
    requests.on_assignment(assignment(0, 10, a));
    const auto exchange_promises = [&](bool include_c) {
        for (const wire::PromiseRequest& request : requests.make_requests()) {
            if (request.candidate().name() == "b") {
                requests.on_reply(at_b.on_request(request));
            } else if (include_c) {
                requests.on_reply(at_c.on_request(request));
            }
        }
        if (const auto since = requests.oldest_promise_time(); since) {
            node.holder.on_candidates_promised(requests.epoch(), *since);
        }
    };
    for (int second = 0; second < 20; ++second) {
        node.clock.advance(1s);
        exchange_promises(true);
        BOOST_TEST((node.holder.state() == slot_state::serving));
        BOOST_TEST(!at_b.begin_append(slot, 10));
    }
    // When a candidate stops responding, the proof expires with its last promise. A candidate that has
    // renounced need not respond.
    at_c.renounce();
    exchange_promises(true);
    node.clock.advance(20s);
    exchange_promises(false);
    BOOST_TEST((node.holder.state() == slot_state::serving));
    BOOST_TEST(!at_c.begin_append(slot, 10));
    node.clock.advance(6s);
    BOOST_TEST((node.holder.state() == slot_state::stale));
    BOOST_TEST(at_b.begin_append(slot, 10));
    exchange_promises(false);
    BOOST_TEST((node.holder.state() == slot_state::stale));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
