// Load as on the busiest days: demand beyond capacity, several ranks, and service times that differ by a
// factor of ten.
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

/// A queue with four slots and estimated service times of 80 ms for calls and 1,300 ms for lookups.
struct queue_with_estimates {
    manual_time_source clock;
    admission_queue queue{clock, {.slots = 4, .max_queued = 64, .max_wait = 60s}};
    ticket_id next_ticket = 1;

    queue_with_estimates() {
        for (int i = 0; i < 32; ++i) {
            run_request(call_class, 80ms);
            run_request(lookup_class, 1300ms);
        }
    }

    void run_request(std::uint64_t work_class, std::chrono::milliseconds time) {
        const ticket_id ticket = next_ticket++;
        queue.offer(ticket, {.deadline = clock.now() + 10s, .work_class = work_class});
        clock.advance(time);
        queue.release(ticket);
    }

    offer_result offer_call(std::chrono::milliseconds deadline = 1000ms) {
        return queue.offer(next_ticket++, {.deadline = clock.now() + deadline,
                                           .objective = clock.now() + 400ms,
                                           .rank = 1,
                                           .work_class = call_class});
    }

    offer_result offer_lookup() {
        return queue.offer(next_ticket++, {.deadline = clock.now() + 8s,
                                           .objective = clock.now() + 4s,
                                           .rank = 2,
                                           .work_class = lookup_class});
    }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(ranked_demand)

// Guards against short calls that are refused because other requests of the target take long. The request
// that waits for such a call occupies a slot on another target and fails.
BOOST_AUTO_TEST_CASE(short_calls_queue_behind_long_requests) {
    queue_with_estimates fixture;
    for (int i = 0; i < 4; ++i) {
        BOOST_TEST((fixture.offer_lookup().outcome == offer_outcome::admitted));
    }
    BOOST_TEST((fixture.offer_call().outcome == offer_outcome::queued));
}

// Guards against a call that waits behind requests of a lower rank.
BOOST_AUTO_TEST_CASE(higher_rank_is_admitted_first) {
    queue_with_estimates fixture;
    std::vector<ticket_id> running;
    for (int i = 0; i < 4; ++i) {
        running.push_back(fixture.next_ticket);
        fixture.offer_lookup();
    }
    const ticket_id waiting_lookup = fixture.next_ticket;
    BOOST_TEST((fixture.offer_lookup().outcome == offer_outcome::queued));
    const ticket_id waiting_call = fixture.next_ticket;
    BOOST_TEST((fixture.offer_call().outcome == offer_outcome::queued));
    fixture.clock.advance(100ms);
    const admission_change first = fixture.queue.release(running[0]);
    BOOST_TEST(first.admitted == std::vector<ticket_id>{waiting_call}, boost::test_tools::per_element());
    const admission_change second = fixture.queue.release(waiting_call);
    BOOST_TEST(second.admitted == std::vector<ticket_id>{waiting_lookup}, boost::test_tools::per_element());
}

// Guards against a request of a lower rank that waits until its deadline although it can no longer start in
// time.
BOOST_AUTO_TEST_CASE(outranked_requests_are_refused_at_once) {
    queue_with_estimates fixture;
    for (int i = 0; i < 4; ++i) {
        fixture.offer_lookup();
    }
    std::vector<ticket_id> lookups;
    while (true) {
        const ticket_id ticket = fixture.next_ticket;
        if (fixture.offer_lookup().outcome != offer_outcome::queued) {
            break;
        }
        lookups.push_back(ticket);
    }
    std::size_t dropped = 0;
    for (int i = 0; i < 12; ++i) {
        const offer_result result = fixture.offer_call(5000ms);
        for (const dropped_ticket& ticket : result.dropped) {
            BOOST_TEST((ticket.error == error_kind::overloaded));
            BOOST_TEST(ticket.retry_after.count() > 0);
            BOOST_TEST((std::find(lookups.begin(), lookups.end(), ticket.ticket) != lookups.end()));
            ++dropped;
        }
    }
    BOOST_TEST(dropped > 0U);
}

// Guards against refusing a request that misses its objective but can still finish before its deadline.
BOOST_AUTO_TEST_CASE(late_requests_wait_behind_the_others) {
    queue_with_estimates fixture;
    std::vector<ticket_id> running;
    for (int i = 0; i < 4; ++i) {
        running.push_back(fixture.next_ticket);
        fixture.offer_lookup();
    }
    // Behind a lookup of 1,300 ms the request misses its objective but meets its deadline.
    const ticket_id late = fixture.next_ticket++;
    const offer_result result = fixture.queue.offer(late, {.deadline = fixture.clock.now() + 5s,
                                                           .objective = fixture.clock.now() + 100ms,
                                                           .rank = 1,
                                                           .work_class = call_class});
    BOOST_TEST((result.outcome == offer_outcome::queued));
    const ticket_id on_time = fixture.next_ticket;
    BOOST_TEST((fixture.offer_call(2000ms).outcome == offer_outcome::queued));
    const admission_change change = fixture.queue.release(running[0]);
    BOOST_TEST(change.admitted == std::vector<ticket_id>{on_time}, boost::test_tools::per_element());
}

// Pattern: a queue full of less urgent requests of the same account. Guards against an urgent request that is
// refused while less urgent ones wait.
BOOST_AUTO_TEST_CASE(urgent_request_replaces_a_less_urgent_one_in_a_full_queue) {
    manual_time_source clock;
    admission_queue queue(clock, {.slots = 4, .max_queued = 8, .max_wait = 60s});
    const auto offer = [&](ticket_id ticket, std::uint32_t rank) {
        return queue.offer(ticket, {.deadline = clock.now() + 60s, .rank = rank});
    };
    for (ticket_id ticket = 1; ticket <= 12; ++ticket) {
        offer(ticket, 2);
    }
    BOOST_TEST((offer(13, 2).outcome == offer_outcome::refused));
    const offer_result urgent = offer(14, 0);
    BOOST_TEST((urgent.outcome == offer_outcome::queued));
    BOOST_REQUIRE(urgent.dropped.size() == 1U);
    BOOST_TEST(urgent.dropped[0].ticket == 12U);
    BOOST_TEST(queue.release(1).admitted == std::vector<ticket_id>{14}, boost::test_tools::per_element());
    for (ticket_id ticket = 15; ticket <= 22; ++ticket) {
        offer(ticket, 0);
    }
    BOOST_TEST((offer(23, 0).outcome == offer_outcome::refused));
}

// Pattern: a route is added while all slots are busy with slow requests. Guards against requests of a route
// without history that are refused because requests of other routes take long and vary.
BOOST_AUTO_TEST_CASE(request_of_a_new_route_is_queued_in_front) {
    queue_with_estimates fixture;
    std::vector<ticket_id> running;
    for (int i = 0; i < 4; ++i) {
        running.push_back(fixture.next_ticket);
        fixture.offer_lookup();
    }
    fixture.offer_lookup();
    constexpr std::uint64_t new_class = 3;
    const ticket_id added = fixture.next_ticket++;
    const offer_result result = fixture.queue.offer(
        added, {.deadline = fixture.clock.now() + 900ms, .rank = 0, .work_class = new_class});
    BOOST_TEST((result.outcome == offer_outcome::queued));
    fixture.clock.advance(100ms);
    BOOST_TEST(fixture.queue.release(running[0]).admitted == std::vector<ticket_id>{added},
               boost::test_tools::per_element());
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
    {"must not be queued", false, offer_outcome::refused},
    {"may be queued", true, offer_outcome::queued},
};

// Guards against a search for a free slot that queues the request at the first full target.
BOOST_DATA_TEST_CASE(full_target_refuses_at_once_without_queueing, busy_cases, row) {
    queue_with_estimates fixture;
    for (int i = 0; i < 4; ++i) {
        fixture.offer_lookup();
    }
    const offer_result result = fixture.queue.offer(
        fixture.next_ticket++,
        {.deadline = fixture.clock.now() + 8s, .work_class = lookup_class, .may_queue = row.may_queue});
    BOOST_TEST((result.outcome == row.outcome));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
