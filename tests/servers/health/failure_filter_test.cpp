#include "servers/health/failure_filter.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

/// One outcome each 100 ms: s is a success, F a quick failure, f a slow one, "." a pause.
struct history_case {
    const char* name;
    std::string outcomes;
    bool takes_non_idempotent;
    bool takes_idempotent;
};

std::ostream& operator<<(std::ostream& out, const history_case& value) {
    return out << value.name;
}

const std::vector<history_case> history_cases{
    {"new target", "", true, true},
    {"healthy target", "ssssssssss", true, true},
    {"one quick failure", "ssssssF", false, true},
    {"one slow failure of a target that works", "ssssssssf", true, true},
    {"slow failures in a row", "ssssssfff", false, false},
    {"quick failures in a row", "ssssssFF", false, false},
    {"one success after failures is no return yet", "ssssssFFFs", false, false},
    {"successes after failures", "ssssssFFssss", true, true},
    {"ten silent seconds after failures",
     "FF....................................................................................................",
     true, true},
};

void replay(failure_filter& filter, manual_time_source& clock, const std::string& outcomes) {
    for (const char outcome : outcomes) {
        clock.advance(100ms);
        if (outcome == 's') {
            filter.on_success();
        } else if (outcome != '.') {
            filter.on_failure(outcome == 'F');
        }
    }
}

/// Takes the first trial, so that only a request that needs none is taken after it.
bool takes_without_trial(failure_filter& filter) {
    (void)filter.try_take(false);
    return filter.try_take(false);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(short_episodes_of_failure)

// Guards against requests that run only once being spent on a target in an episode, and against healthy
// capacity being left idle for a scattered error.
BOOST_DATA_TEST_CASE(history_decides, boost::unit_test::data::make(history_cases), row) {
    manual_time_source clock;
    failure_filter filter(clock, {});
    replay(filter, clock, row.outcomes);
    BOOST_TEST(filter.try_take(true) == row.takes_non_idempotent);
    BOOST_TEST(takes_without_trial(filter) == row.takes_idempotent);
}

// Guards against a sick target that gets all the repeatable work, or none, so that its return is never seen.
BOOST_AUTO_TEST_CASE(repeatable_work_is_the_trial) {
    manual_time_source clock;
    failure_filter filter(clock, {});
    replay(filter, clock, "FFFF");
    int taken = 0;
    for (int i = 0; i < 20; ++i) {
        clock.advance(100ms);
        if (filter.try_take(false)) {
            ++taken;
            filter.on_failure(true);
        }
    }
    BOOST_TEST(taken >= 4);
    BOOST_TEST(taken <= 6);
}

// Load of the association's contratos: 4 requests that run once and 2 that may repeat each second, an episode
// of 4 s in which 85 in 100 fail at once. Guards against the loss of more than two of the former in one
// episode.
BOOST_AUTO_TEST_CASE(an_episode_costs_few_requests_that_run_once) {
    manual_time_source clock;
    failure_filter filter(clock, {});
    int lost = 0;
    for (int step = 0; step < 200; ++step) {
        clock.advance(50ms);
        const bool sick = step >= 60 && step < 140;
        const bool fails = sick && step % 7 != 0;
        const bool run_once = step % 5 == 0;
        const bool repeatable = step % 10 == 3;
        if ((run_once && filter.try_take(true)) || (repeatable && filter.try_take(false))) {
            lost += run_once && fails ? 1 : 0;
            fails ? filter.on_failure(true) : filter.on_success();
        }
    }
    BOOST_TEST(lost >= 1);
    BOOST_TEST(lost <= 2);
    BOOST_TEST(filter.try_take(true));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
