#include "servers/admission/deadline.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

struct timeout_case {
    const char* text;
    std::optional<std::chrono::milliseconds> value;
};

std::ostream& operator<<(std::ostream& out, const timeout_case& value) {
    return out << value.text;
}

const timeout_case timeout_cases[] = {
    {"250", 250ms},        {"1", 1ms},
    {"99999999999", 1h},   {"", std::nullopt},
    {"0", std::nullopt},   {"-5", std::nullopt},
    {"12x", std::nullopt}, {" 12", std::nullopt},
    {"1.5", std::nullopt}, {"99999999999999999999999", std::nullopt},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(deadlines)

// Guards against a malformed timeout that is parsed as a very short or unlimited one.
BOOST_DATA_TEST_CASE(parses_caller_timeout, timeout_cases, sample) {
    BOOST_TEST((parse_timeout(sample.text) == sample.value));
}

// Guards against a caller's timeout above the route's, and against a deadline that moves later with a hop.
BOOST_AUTO_TEST_CASE(remaining_time_decreases_with_each_hop) {
    manual_time_source clock;
    const steady_time arrival = clock.now();
    BOOST_TEST((compute_deadline(arrival, 5s, 2s) == arrival + 2s));
    BOOST_TEST((compute_deadline(arrival, 1s, 2s) == arrival + 1s));
    BOOST_TEST((compute_deadline(arrival, std::nullopt, 2s) == arrival + 2s));
    const steady_time deadline = arrival + 100ms;
    clock.advance(10ms);
    const auto next = time_for_next_hop(clock, deadline);
    BOOST_REQUIRE(next.has_value());
    BOOST_TEST((*next < remaining_time(clock, deadline)));
    BOOST_TEST((deadline_from_remaining(clock, *next) < deadline));
    BOOST_TEST(target_timeout_ms(clock, deadline).value() == 90U);
}

// Guards against a request that is forwarded to a node or target after its deadline.
BOOST_AUTO_TEST_CASE(no_request_is_forwarded_after_the_deadline) {
    manual_time_source clock;
    const steady_time deadline = clock.now() + 10ms;
    clock.advance(9'500us);
    BOOST_TEST(!time_for_next_hop(clock, deadline).has_value());
    BOOST_TEST(!target_timeout_ms(clock, deadline).has_value());
    clock.advance(1s);
    BOOST_TEST((remaining_time(clock, deadline) == 0us));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
