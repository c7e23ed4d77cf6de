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

/// Node a with a fresh read of the log, and one finished key "known".
struct node_a {
    manual_time_source clock;
    claim_ledger ledger{clock, {}};
    slot_holder holder{clock, options, a, slot, ledger};

    node_a() {
        holder.on_assignment(assignment(0, 10, a));
        holder.on_fresh_log_read(clock.now());
        ledger.finish(slot, "known", holder.decide("known", {}, 1, 0).claim.token, {});
    }

    void lose_and_take_over() {
        holder.on_assignment(assignment(10, 20, b));
        holder.on_assignment(assignment(20, 30, a));
    }

    void bring_to(slot_state state) {
        if (state == slot_state::not_holder) {
            holder.on_assignment(assignment(10, 20, b));
        } else if (state == slot_state::waiting) {
            lose_and_take_over();
        } else if (state == slot_state::first_sends_only) {
            lose_and_take_over();
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
    error_kind first;     ///< For a first send that names no epoch.
    error_kind unmarked;  ///< For any other send of a new key.
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

// Guards against a run in a state in which another node may run the key, and against the loss of an answer
// that is known.
BOOST_DATA_TEST_CASE(decision_in_each_state, state_cases, sample) {
    node_a node;
    node.bring_to(sample.state);
    BOOST_TEST((node.holder.state() == sample.state));
    BOOST_TEST((node.holder.decide("first", {.first = true}, 1, 0).claim.error == sample.first));
    BOOST_TEST((node.holder.decide("other", {}, 1, 0).claim.error == sample.unmarked));
    BOOST_TEST((node.holder.decide("known", {}, 1, 0).claim.action == claim_action::replay));
}

// Guards against a caller that cannot learn how to mark a first send after a takeover.
BOOST_AUTO_TEST_CASE(refusal_names_the_epoch_of_the_takeover) {
    node_a node;
    node.bring_to(slot_state::first_sends_only);
    const slot_decision refused = node.holder.decide("k", {.first = true}, 1, 0);
    BOOST_TEST(refused.slot_epoch == 30U);
    BOOST_TEST((get_error_answer(refused.claim.error).execution == execution_state::not_run));
    const send_mark marked{.first = true, .slot_epoch = refused.slot_epoch};
    BOOST_TEST((node.holder.decide("k", marked, 1, 0).claim.action == claim_action::run));
}

// Guards against a write after the proof of freshness ended, after a pause, or in a later term.
BOOST_AUTO_TEST_CASE(permits_end) {
    node_a paused;
    const write_permit first = paused.holder.decide("k", {}, 1, 0).permit;
    paused.clock.advance(options.margin + 1ms);
    BOOST_TEST(!paused.holder.may_write_now(first));
    const auto again = paused.holder.check_write(first);
    BOOST_REQUIRE(again.has_value());
    BOOST_TEST(paused.holder.may_write_now(*again));
    paused.clock.advance(options.lease - options.margin);
    BOOST_TEST(!paused.holder.check_write(*again).has_value());

    node_a moved;
    const write_permit old = moved.holder.decide("k", {}, 1, 0).permit;
    moved.bring_to(slot_state::first_sends_only);
    BOOST_TEST(!moved.holder.check_write(old).has_value());
}

// Guards against a holder that resumes after it gave its claims away without a renewed assignment.
BOOST_AUTO_TEST_CASE(exported_slot_resumes_only_after_a_renewal) {
    node_a node;
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

// Guards against an outage of the log that stops holders whose candidates all promise, and against a
// candidate that breaks its promise.
BOOST_AUTO_TEST_CASE(promises_replace_the_log) {
    node_a node;
    promise_requests requests(node.clock, options, a);
    lease_promises at_b(node.clock, options, b);
    lease_promises at_c(node.clock, options, c);
    requests.on_assignment(assignment(0, 10, a));
    const auto round = [&](bool with_c) {
        for (const wire::PromiseRequest& request : requests.make_requests()) {
            if (request.candidate().name() == "b") {
                requests.on_reply(at_b.on_request(request));
            } else if (with_c) {
                requests.on_reply(at_c.on_request(request));
            }
        }
        if (const auto since = requests.promised_since(); since) {
            node.holder.on_promised(requests.epoch(), *since);
        }
    };
    for (int second = 0; second < 20; ++second) {
        node.clock.advance(1s);
        round(true);
        BOOST_TEST((node.holder.state() == slot_state::serving));
        BOOST_TEST(!at_b.begin_append(slot, 10));
    }
    // One candidate is silent: the proof ends with its last promise. One that renounced is not needed.
    at_c.renounce();
    round(true);
    node.clock.advance(20s);
    round(false);
    BOOST_TEST((node.holder.state() == slot_state::serving));
    BOOST_TEST(!at_c.begin_append(slot, 10));
    node.clock.advance(6s);
    BOOST_TEST((node.holder.state() == slot_state::stale));
    BOOST_TEST(at_b.begin_append(slot, 10));
    round(false);
    BOOST_TEST((node.holder.state() == slot_state::stale));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
