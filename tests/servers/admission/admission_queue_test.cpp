#include "servers/admission/admission_queue.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr admission_options two_slots{
    .slots = 2, .max_queued = 4, .max_wait = 100ms, .initial_service_time = 20ms};

/// A queue with two busy slots and a mean service time of 20 ms.
struct busy_queue {
    manual_time_source clock;
    admission_queue queue{clock, two_slots};

    busy_queue() {
        queue.offer(1, clock.now() + 1s, "a");
        queue.offer(2, clock.now() + 1s, "a");
    }
};

struct offer_case {
    const char* name;
    std::chrono::milliseconds deadline;
    offer_outcome outcome;
    error_kind error;
};

std::ostream& operator<<(std::ostream& out, const offer_case& value) {
    return out << value.name;
}

constexpr offer_case busy_cases[] = {
    {"enough time to wait and run", 50ms, offer_outcome::queued, error_kind::none},
    {"enough time to run but not to wait", 25ms, offer_outcome::refused, error_kind::overloaded},
    {"less time than any run takes", 5ms, offer_outcome::refused, error_kind::overloaded},
    {"deadline now", 0ms, offer_outcome::refused, error_kind::deadline_expired},
    {"deadline has passed", -5ms, offer_outcome::refused, error_kind::deadline_expired},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_queue_decisions)

// Guards against queued requests that cannot finish before their deadline.
BOOST_DATA_TEST_CASE(busy_queue_decides_by_deadline, busy_cases, sample) {
    busy_queue fixture;
    const offer_result result = fixture.queue.offer(3, fixture.clock.now() + sample.deadline, "a");
    BOOST_TEST((result.outcome == sample.outcome));
    BOOST_TEST((result.error == sample.error));
    BOOST_TEST((result.retry_after > 0ms) == (sample.error == error_kind::overloaded));
}

// Guards against requests that are admitted in order of arrival instead of deadline.
BOOST_AUTO_TEST_CASE(admits_in_order_of_deadline) {
    busy_queue fixture;
    fixture.queue.offer(3, fixture.clock.now() + 90ms, "a");
    fixture.queue.offer(4, fixture.clock.now() + 60ms, "a");
    fixture.clock.advance(5ms);
    BOOST_TEST(fixture.queue.release(1).admitted == std::vector<ticket_id>{4});
    BOOST_TEST(fixture.queue.release(2).admitted == std::vector<ticket_id>{3});
}

// Guards against one account that fills the queue, so that requests of all others are refused.
BOOST_AUTO_TEST_CASE(full_queue_replaces_a_request_of_the_largest_account) {
    busy_queue fixture;
    for (ticket_id ticket = 3; ticket <= 6; ++ticket) {
        BOOST_TEST(
            (fixture.queue.offer(ticket, fixture.clock.now() + 1s, "a").outcome == offer_outcome::queued));
    }
    BOOST_TEST((fixture.queue.offer(7, fixture.clock.now() + 1s, "a").error == error_kind::overloaded));
    const offer_result other = fixture.queue.offer(8, fixture.clock.now() + 1s, "b");
    BOOST_TEST((other.outcome == offer_outcome::queued));
    BOOST_REQUIRE_EQUAL(other.dropped.size(), 1U);
    BOOST_TEST(other.dropped[0].ticket == 6U);
    BOOST_TEST((other.dropped[0].error == error_kind::overloaded));
}

// Guards against a request that is sent to the target after its deadline.
BOOST_AUTO_TEST_CASE(expired_requests_are_dropped_before_the_target) {
    busy_queue fixture;
    fixture.queue.offer(3, fixture.clock.now() + 50ms, "a");
    fixture.clock.advance(60ms);
    const admission_change change = fixture.queue.release(1);
    BOOST_TEST(change.admitted.empty());
    BOOST_REQUIRE_EQUAL(change.dropped.size(), 1U);
    BOOST_TEST((change.dropped[0].error == error_kind::deadline_expired));
}

// Guards against a leaving target that accepts new requests or interrupts running ones.
BOOST_AUTO_TEST_CASE(leaving_refuses_new_and_finishes_running_requests) {
    busy_queue fixture;
    fixture.queue.offer(3, fixture.clock.now() + 1s, "a");
    fixture.queue.set_leaving();
    BOOST_TEST((fixture.queue.offer(4, fixture.clock.now() + 1s, "a").error == error_kind::target_leaving));
    BOOST_TEST((fixture.queue.load().state == admission_state::leaving));
    BOOST_TEST(fixture.queue.release(1).admitted == std::vector<ticket_id>{3});
    fixture.queue.release(2);
    fixture.queue.release(3);
    BOOST_TEST((fixture.queue.load().state == admission_state::drained));
}

// Guards against a queue that refuses all requests permanently after one very slow request.
BOOST_AUTO_TEST_CASE(idle_queue_admits_despite_a_long_estimate) {
    manual_time_source clock;
    admission_queue queue(clock, {.slots = 1, .initial_service_time = 10min});
    BOOST_TEST((queue.offer(1, clock.now() + 50ms, "a").outcome == offer_outcome::admitted));
}

// Guards against slots that are lost or exceeded when their number changes under load.
BOOST_AUTO_TEST_CASE(slots_change_at_run_time) {
    busy_queue fixture;
    fixture.queue.offer(3, fixture.clock.now() + 1s, "a");
    fixture.queue.offer(4, fixture.clock.now() + 1s, "a");
    BOOST_TEST(fixture.queue.set_slots(3).admitted == std::vector<ticket_id>{3});
    BOOST_TEST(fixture.queue.set_slots(1).admitted.empty());
    BOOST_TEST(fixture.queue.release(1).admitted.empty());
    BOOST_TEST(fixture.queue.release(2).admitted.empty());
    BOOST_TEST(fixture.queue.cancel(3).admitted == std::vector<ticket_id>{4});
    BOOST_TEST(fixture.queue.load().running == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
