#include "servers/admission/slot_loans.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kilobyte = 1'000;

/// One lent slot. It moves bytes once a second and waits for its caller meanwhile.
struct lent_slot {
    caller_id caller;
    std::uint64_t bytes_per_s;
    bool waits = true;
};

struct reclaim_case {
    const char* name;
    std::vector<lent_slot> lent;  ///< Tickets are numbered from 1.
    std::chrono::seconds time;    ///< Since all loans began.
    std::uint32_t slots;
    std::size_t waiting;
    bool others;                   ///< Requests that need no loan come.
    std::vector<ticket_id> slow;   ///< Reclaimed, in this order.
    std::vector<ticket_id> share;  ///< Reclaimed after these because too many are lent.
};

std::ostream& operator<<(std::ostream& out, const reclaim_case& value) {
    return out << value.name;
}

const std::vector<reclaim_case> reclaim_cases{
    {"nobody waits for a slot", {{1, 0}, {2, 0}}, 60s, 2, 0, true, {}, {}},
    {"patience is left", {{1, 0}, {2, 0}}, 2s, 2, 1, true, {}, {}},
    {"one for each waiting request", {{1, 0}, {2, 0}, {3, 0}}, 3s, 4, 2, true, {1, 2}, {}},
    {"the stalled one and not the fast one", {{1, 1'000 * kilobyte}, {2, 0}}, 5s, 4, 2, true, {2}, {}},
    {"the target is slow, not the caller", {{1, 0, false}, {2, 0, false}}, 60s, 2, 2, true, {}, {}},
    {"a tenth of the pace", {{1, 6 * kilobyte}}, 5s, 1, 1, true, {1}, {}},
    {"a caller above the pace keeps its share", {{1, 70 * kilobyte}}, 600s, 2, 1, true, {}, {}},
    {"callers above the pace, too many", {{1, 70 * kilobyte}, {2, 70 * kilobyte}}, 11s, 2, 1, true, {}, {1}},
    {"too many, for a short time", {{1, 70 * kilobyte}, {2, 70 * kilobyte}}, 9s, 2, 1, true, {}, {}},
    {"too many, but all need a loan", {{1, 70 * kilobyte}, {2, 70 * kilobyte}}, 60s, 2, 1, false, {}, {}},
    {"the caller with the most slots first", {{1, 0}, {2, 0}, {2, 0}}, 3s, 4, 1, true, {2}, {}},
    {"a target with one slot", {{1, 0}}, 3s, 1, 1, true, {1}, {}},
};

struct loans_fixture {
    manual_time_source clock;
    slot_loans loans{clock, {}};

    void begin(const std::vector<lent_slot>& lent) {
        ticket_id ticket = 0;
        for (const lent_slot& slot : lent) {
            loans.lend(++ticket, slot.caller);
            if (slot.waits) {
                loans.begin_wait(ticket);
            }
        }
    }

    void run(const std::vector<lent_slot>& lent, std::chrono::seconds time, bool others) {
        for (std::chrono::seconds passed{0}; passed < time; passed += 1s) {
            clock.advance(1s);
            ticket_id ticket = 0;
            for (const lent_slot& slot : lent) {
                ++ticket;
                if (slot.waits && slot.bytes_per_s > 0) {
                    loans.end_wait(ticket, slot.bytes_per_s);
                    loans.begin_wait(ticket);
                }
            }
            if (others) {
                loans.note_other_request();
            }
        }
    }
};

// Pattern: callers that stall, trickle or stay just above the pace, mixed with callers that don't. Guards
// against slots that no other request gets, and against cuts that help nobody.
BOOST_DATA_TEST_CASE(lent_slots_are_reclaimed_for_others, boost::unit_test::data::make(reclaim_cases), row) {
    const reclaim_case expected = row;
    loans_fixture fixture;
    fixture.begin(expected.lent);
    fixture.run(expected.lent, expected.time, expected.others);
    std::vector<ticket_id> slow;
    std::vector<ticket_id> share;
    while (const auto slot = fixture.loans.reclaim(expected.slots, expected.waiting)) {
        (slot->reason == reclaim_reason::slow_caller ? slow : share).push_back(slot->ticket);
    }
    BOOST_TEST(slow == expected.slow, boost::test_tools::per_element());
    BOOST_TEST(share == expected.share, boost::test_tools::per_element());
}

struct admit_case {
    const char* name;
    std::size_t lent;
    std::uint32_t slots;
    std::chrono::seconds since_other;  ///< Since the latest request that needs no loan; 0 is never.
    bool admitted;
};

std::ostream& operator<<(std::ostream& out, const admit_case& value) {
    return out << value.name;
}

const std::vector<admit_case> admit_cases{
    {"nothing lent", 0, 4, 1s, true},
    {"share taken", 3, 4, 1s, false},
    {"share of two slots taken", 1, 2, 1s, false},
    {"the only slot", 0, 1, 1s, true},
    {"a quarter of 13 is three", 9, 13, 1s, true},
    {"share of 13 slots taken", 10, 13, 1s, false},
    {"no other requests", 4, 4, 0s, true},
    {"other requests a minute ago", 4, 4, 60s, true},
};

// Guards against slots that stay free although nobody else asks for them, and against crowds that take all.
BOOST_DATA_TEST_CASE(share_of_slots_is_kept, boost::unit_test::data::make(admit_cases), row) {
    const admit_case expected = row;
    loans_fixture fixture;
    fixture.clock.advance(1s);
    if (expected.since_other > 0s) {
        fixture.loans.note_other_request();
    }
    fixture.clock.advance(expected.since_other);
    fixture.begin(std::vector<lent_slot>(expected.lent, {1, 0}));
    BOOST_TEST(fixture.loans.try_admit(expected.slots) == expected.admitted);
    BOOST_TEST(fixture.loans.load().refused == (expected.admitted ? 0U : 1U));
}

// Guards against a crowd that gets the full patience each time it comes back.
BOOST_AUTO_TEST_CASE(returning_callers_have_less_patience) {
    loans_fixture fixture;
    fixture.begin({{7, 0}});
    fixture.clock.advance(3s);
    BOOST_REQUIRE(fixture.loans.reclaim(1, 1).has_value());
    fixture.loans.end(1);
    BOOST_TEST(fixture.loans.gave_way(7));
    fixture.begin({{7, 0}});
    fixture.clock.advance(999ms);
    BOOST_TEST(!fixture.loans.reclaim(1, 1).has_value());
    fixture.clock.advance(1ms);
    BOOST_TEST(fixture.loans.reclaim(1, 1).has_value());
    fixture.clock.advance(60s);
    BOOST_TEST(!fixture.loans.gave_way(7));
}

// Guards against long answers that take all slots again and again because each looks like any other request.
BOOST_AUTO_TEST_CASE(long_answers_are_expected_for_a_while) {
    loans_fixture fixture;
    fixture.loans.note_long_answer(5);
    fixture.loans.note_long_answer(0);
    BOOST_TEST(fixture.loans.expects_long_answer(5));
    BOOST_TEST(!fixture.loans.expects_long_answer(6));
    BOOST_TEST(!fixture.loans.expects_long_answer(0));
    fixture.clock.advance(60s);
    BOOST_TEST(!fixture.loans.expects_long_answer(5));
}

}  // namespace
}  // namespace teaselpitch
