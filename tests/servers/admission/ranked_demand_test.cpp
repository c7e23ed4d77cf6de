// The load of the heaviest days: demand beyond capacity with ranks, and work that differs by a factor of ten.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <vector>

#include "servers/admission/admission_queue.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t call_class = 1;
constexpr std::uint64_t lookup_class = 2;

/// A target with four slots that has learned the times of its work: calls take 80 ms, lookups 1,300 ms.
struct learned_gate {
    manual_time_source clock;
    admission_queue queue{clock, {.slots = 4, .max_queued = 64, .max_wait = 60s}};
    ticket_id next = 1;

    learned_gate() {
        for (int i = 0; i < 32; ++i) {
            run_alone(call_class, 80ms);
            run_alone(lookup_class, 1300ms);
        }
    }

    void run_alone(std::uint64_t work_class, std::chrono::milliseconds time) {
        const ticket_id ticket = next++;
        queue.offer(ticket, {.deadline = clock.now() + 10s, .work_class = work_class});
        clock.advance(time);
        queue.release(ticket);
    }

    offer_result call(std::chrono::milliseconds deadline = 1000ms) {
        return queue.offer(next++, {.deadline = clock.now() + deadline,
                                    .objective = clock.now() + 400ms,
                                    .rank = 1,
                                    .work_class = call_class});
    }

    offer_result lookup() {
        return queue.offer(next++, {.deadline = clock.now() + 8s,
                                    .objective = clock.now() + 4s,
                                    .rank = 2,
                                    .work_class = lookup_class});
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ranked_demand)

// Guards against short calls that are refused because the other work of the target is long: the request that
// waits for them holds a slot elsewhere and fails.
BOOST_AUTO_TEST_CASE(short_calls_queue_behind_long_work) {
    learned_gate gate;
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST((gate.lookup().outcome == offer_outcome::admitted));
    }
    BOOST_TEST((gate.call().outcome == offer_outcome::queued));
}

// Guards against a call that waits behind work of a lower rank.
BOOST_AUTO_TEST_CASE(higher_rank_goes_first) {
    learned_gate gate;
    std::vector<ticket_id> running;
    for (int i = 0; i < 4; ++i) {
        running.push_back(gate.next);
        gate.lookup();
    }
    const ticket_id waiting_lookup = gate.next;
    BOOST_TEST((gate.lookup().outcome == offer_outcome::queued));
    const ticket_id waiting_call = gate.next;
    BOOST_TEST((gate.call().outcome == offer_outcome::queued));
    gate.clock.advance(100ms);
    const admission_change first = gate.queue.release(running[0]);
    BOOST_TEST(first.admitted == std::vector<ticket_id>{waiting_call}, boost::test_tools::per_element());
    const admission_change second = gate.queue.release(waiting_call);
    BOOST_TEST(second.admitted == std::vector<ticket_id>{waiting_lookup}, boost::test_tools::per_element());
}

// Guards against a request of a lower rank that waits until its deadline although it can no longer be served.
BOOST_AUTO_TEST_CASE(outranked_requests_are_refused_at_once) {
    learned_gate gate;
    for (int i = 0; i < 4; ++i) {
        gate.lookup();
    }
    std::vector<ticket_id> lookups;
    while (true) {
        const ticket_id ticket = gate.next;
        if (gate.lookup().outcome != offer_outcome::queued) {
            break;
        }
        lookups.push_back(ticket);
    }
    std::size_t dropped = 0;
    for (int i = 0; i < 12; ++i) {
        const offer_result result = gate.call(5000ms);
        for (const dropped_ticket& ticket : result.dropped) {
            BOOST_TEST((ticket.error == error_kind::overloaded));
            BOOST_TEST(ticket.retry_after.count() > 0);
            BOOST_TEST((std::find(lookups.begin(), lookups.end(), ticket.ticket) != lookups.end()));
            ++dropped;
        }
    }
    BOOST_TEST(dropped > 0U);
}

// Guards against a refusal of work that would be late but whole while slots come free in time.
BOOST_AUTO_TEST_CASE(late_work_waits_behind_the_rest) {
    learned_gate gate;
    std::vector<ticket_id> running;
    for (int i = 0; i < 4; ++i) {
        running.push_back(gate.next);
        gate.lookup();
    }
    // Its objective cannot be met behind a lookup that takes 1,300 ms; its deadline can.
    const ticket_id late = gate.next++;
    const offer_result result = gate.queue.offer(late, {.deadline = gate.clock.now() + 5s,
                                                        .objective = gate.clock.now() + 100ms,
                                                        .rank = 1,
                                                        .work_class = call_class});
    BOOST_TEST((result.outcome == offer_outcome::queued));
    const ticket_id on_time = gate.next;
    BOOST_TEST((gate.call(2000ms).outcome == offer_outcome::queued));
    const admission_change change = gate.queue.release(running[0]);
    BOOST_TEST(change.admitted == std::vector<ticket_id>{on_time}, boost::test_tools::per_element());
}

struct busy_case {
    const char* name;
    bool may_queue;
    offer_outcome outcome;
};

std::ostream& operator<<(std::ostream& out, const busy_case& value) {
    return out << value.name;
}

constexpr busy_case busy_cases[] = {
    {"asks for a free slot only", false, offer_outcome::refused},
    {"may queue", true, offer_outcome::queued},
};

// Guards against a search for a free slot that ends in the queue of the first full target.
BOOST_DATA_TEST_CASE(full_target_answers_at_once, busy_cases, row) {
    learned_gate gate;
    for (int i = 0; i < 4; ++i) {
        gate.lookup();
    }
    const offer_result result = gate.queue.offer(
        gate.next++,
        {.deadline = gate.clock.now() + 8s, .work_class = lookup_class, .may_queue = row.may_queue});
    BOOST_TEST((result.outcome == row.outcome));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
