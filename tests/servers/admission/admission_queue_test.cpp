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

/// A gate with two busy slots, whose mean service time is 20 ms.
struct busy_gate {
    manual_time_source clock;
    admission_queue queue{clock, two_slots};

    busy_gate() {
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
    {"time for a place in the queue", 50ms, offer_outcome::queued, error_kind::none},
    {"time to run but not to wait", 25ms, offer_outcome::refused, error_kind::overloaded},
    {"less than any run takes", 5ms, offer_outcome::refused, error_kind::overloaded},
    {"deadline now", 0ms, offer_outcome::refused, error_kind::deadline_expired},
    {"deadline passed", -5ms, offer_outcome::refused, error_kind::deadline_expired},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_queue_decisions)

// Guards against work that is queued although it cannot finish before its deadline.
BOOST_DATA_TEST_CASE(busy_gate_decides_by_deadline, busy_cases, sample) {
    busy_gate gate;
    const offer_result result = gate.queue.offer(3, gate.clock.now() + sample.deadline, "a");
    BOOST_TEST((result.outcome == sample.outcome));
    BOOST_TEST((result.error == sample.error));
    BOOST_TEST((result.retry_after > 0ms) == (sample.error == error_kind::overloaded));
}

// Guards against a queue that serves in order of arrival while an earlier deadline waits.
BOOST_AUTO_TEST_CASE(admits_in_order_of_deadline) {
    busy_gate gate;
    gate.queue.offer(3, gate.clock.now() + 90ms, "a");
    gate.queue.offer(4, gate.clock.now() + 60ms, "a");
    gate.clock.advance(5ms);
    BOOST_TEST(gate.queue.release(1).admitted == std::vector<ticket_id>{4});
    BOOST_TEST(gate.queue.release(2).admitted == std::vector<ticket_id>{3});
}

// Guards against one account that fills the queue and shuts the others out.
BOOST_AUTO_TEST_CASE(full_queue_makes_room_for_another_account) {
    busy_gate gate;
    for (ticket_id ticket = 3; ticket <= 6; ++ticket) {
        BOOST_TEST((gate.queue.offer(ticket, gate.clock.now() + 1s, "a").outcome == offer_outcome::queued));
    }
    BOOST_TEST((gate.queue.offer(7, gate.clock.now() + 1s, "a").error == error_kind::overloaded));
    const offer_result other = gate.queue.offer(8, gate.clock.now() + 1s, "b");
    BOOST_TEST((other.outcome == offer_outcome::queued));
    BOOST_REQUIRE_EQUAL(other.dropped.size(), 1U);
    BOOST_TEST(other.dropped[0].ticket == 6U);
    BOOST_TEST((other.dropped[0].error == error_kind::overloaded));
}

// Guards against a request that is sent to the target after its deadline.
BOOST_AUTO_TEST_CASE(late_requests_are_dropped_before_the_target) {
    busy_gate gate;
    gate.queue.offer(3, gate.clock.now() + 50ms, "a");
    gate.clock.advance(60ms);
    const admission_change change = gate.queue.release(1);
    BOOST_TEST(change.admitted.empty());
    BOOST_REQUIRE_EQUAL(change.dropped.size(), 1U);
    BOOST_TEST((change.dropped[0].error == error_kind::deadline_expired));
}

// Guards against a leaving target that takes new work or interrupts work that it has.
BOOST_AUTO_TEST_CASE(leaving_refuses_new_work_and_finishes_old) {
    busy_gate gate;
    gate.queue.offer(3, gate.clock.now() + 1s, "a");
    gate.queue.set_leaving();
    BOOST_TEST((gate.queue.offer(4, gate.clock.now() + 1s, "a").error == error_kind::target_leaving));
    BOOST_TEST((gate.queue.load().state == admission_state::leaving));
    BOOST_TEST(gate.queue.release(1).admitted == std::vector<ticket_id>{3});
    gate.queue.release(2);
    gate.queue.release(3);
    BOOST_TEST((gate.queue.load().state == admission_state::drained));
}

// Guards against a gate that refuses everything for good after one very slow request.
BOOST_AUTO_TEST_CASE(idle_gate_admits_in_spite_of_a_slow_past) {
    manual_time_source clock;
    admission_queue queue(clock, {.slots = 1, .initial_service_time = 10min});
    BOOST_TEST((queue.offer(1, clock.now() + 50ms, "a").outcome == offer_outcome::admitted));
}

// Guards against slots that are lost or exceeded when their number changes under load.
BOOST_AUTO_TEST_CASE(slots_change_at_run_time) {
    busy_gate gate;
    gate.queue.offer(3, gate.clock.now() + 1s, "a");
    gate.queue.offer(4, gate.clock.now() + 1s, "a");
    BOOST_TEST(gate.queue.set_slots(3).admitted == std::vector<ticket_id>{3});
    BOOST_TEST(gate.queue.set_slots(1).admitted.empty());
    BOOST_TEST(gate.queue.release(1).admitted.empty());
    BOOST_TEST(gate.queue.release(2).admitted.empty());
    BOOST_TEST(gate.queue.cancel(3).admitted == std::vector<ticket_id>{4});
    BOOST_TEST(gate.queue.load().running == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
