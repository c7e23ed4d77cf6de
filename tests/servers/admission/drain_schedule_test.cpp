#include "servers/admission/drain_schedule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ostream>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

const steady_time start = steady_time{} + 1h;

struct arrival_case {
    const char* name;
    milliseconds kill_limit;
    milliseconds arrival;
    milliseconds deadline;
    bool accepted;
};
std::ostream& operator<<(std::ostream& out, const arrival_case& item) {
    return out << item.name;
}
const std::vector<arrival_case> arrival_cases{
    {"just after the start", 6s, 0ms, 30s, true},
    {"early and long", 6s, 2'900ms, 17s, true},
    {"late and long", 6s, 3'100ms, 18s, false},
    {"late but short", 6s, 3'100ms, 4'100ms, true},
    {"at the end", 6s, 5s, 6s, false},
    {"late in a long grace time", 10s, 3'100ms, 13s, false},
    {"short call in a long grace time", 10s, 7s, 8s, true},
    {"late in a short grace time", 2s, 1'100ms, 4s, false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(stopping)

// Guards against running requests that a stopping node breaks off long before the platform kills it, and
// against answers that the kill cuts off.
BOOST_DATA_TEST_CASE(answers_end_in_last_sixth_before_kill,
                     boost::unit_test::data::make({1'000, 2'000, 3'000, 6'000, 10'000, 30'000, 120'000}),
                     limit_ms) {
    const milliseconds limit{limit_ms};
    const drain_schedule schedule = plan_drain_before_kill(start, limit);
    BOOST_TEST((schedule.answer_deadline > start + limit * 5 / 6));
    BOOST_TEST((schedule.answer_deadline < schedule.exit_by));
    BOOST_TEST((schedule.exit_by < start + limit));
    BOOST_TEST((schedule.accept_until <= start + 3s));
    BOOST_TEST((schedule.accept_until < schedule.answer_deadline));
}

// Guards against requests that a stopping node accepts late, passes on and cuts off unfinished, and against a
// refusal of those that it can still finish.
BOOST_DATA_TEST_CASE(late_requests_must_end_before_the_node, boost::unit_test::data::make(arrival_cases),
                     item) {
    const drain_schedule schedule = plan_drain_before_kill(start, item.kill_limit);
    BOOST_TEST(schedule.accepts(start + item.arrival, start + item.deadline) == item.accepted);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
