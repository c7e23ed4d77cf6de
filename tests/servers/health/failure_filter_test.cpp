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

/// One outcome every 100 ms: s is a success, F a quick failure, f a slow failure, "." no request.
struct history_case {
    const char* name;
    std::string outcomes;
    bool admits_non_idempotent;
    bool admits_idempotent;
};

std::ostream& operator<<(std::ostream& out, const history_case& value) {
    return out << value.name;
}

const std::vector<history_case> history_cases{
    {"new target", "", true, true},
    {"healthy target", "ssssssssss", true, true},
    {"one quick failure", "ssssssF", false, true},
    {"one slow failure of a healthy target", "ssssssssf", true, true},
    {"slow failures in a row", "ssssssfff", false, false},
    {"quick failures in a row", "ssssssFF", false, false},
    {"one success after failures does not end the episode", "ssssssFFFs", false, false},
    {"successes after failures", "ssssssFFssss", true, true},
    {"ten seconds without requests after failures",
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

/// Uses up the available trial first, so that the next request is admitted only when it needs no trial.
bool admits_without_trial(failure_filter& filter) {
    (void)filter.try_admit(false);
    return filter.try_admit(false);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(short_failure_episodes)

// Guards against non-idempotent requests that are sent to a target in an episode, and against healthy
// capacity that is left idle because of a scattered error.
BOOST_DATA_TEST_CASE(outcome_history_determines_admission, boost::unit_test::data::make(history_cases), row) {
    manual_time_source clock;
    failure_filter filter(clock, {});
    replay(filter, clock, row.outcomes);
    BOOST_TEST(filter.try_admit(true) == row.admits_non_idempotent);
    BOOST_TEST(admits_without_trial(filter) == row.admits_idempotent);
}

// Guards against a target in an episode that receives all idempotent requests, or none, in which case its
// recovery would never be detected.
BOOST_AUTO_TEST_CASE(idempotent_requests_serve_as_trials) {
    manual_time_source clock;
    failure_filter filter(clock, {});
    replay(filter, clock, "FFFF");
    int admitted = 0;
    for (int i = 0; i < 20; ++i) {
        clock.advance(100ms);
        if (filter.try_admit(false)) {
            ++admitted;
            filter.on_failure(true);
        }
    }
    BOOST_TEST(admitted >= 4);
    BOOST_TEST(admitted <= 6);
}

// Guards against more than two failed non-idempotent requests per episode under the load of the association's
// service contratos: 4 non-idempotent and 2 idempotent requests per second, and an episode of 4 s in which
// 85% fail immediately.
BOOST_AUTO_TEST_CASE(episode_fails_few_non_idempotent_requests) {
    manual_time_source clock;
    failure_filter filter(clock, {});
    int failed_non_idempotent = 0;
    for (int step = 0; step < 200; ++step) {
        clock.advance(50ms);
        const bool in_episode = step >= 60 && step < 140;
        const bool fails = in_episode && step % 7 != 0;
        const bool non_idempotent = step % 5 == 0;
        const bool idempotent = step % 10 == 3;
        if ((non_idempotent && filter.try_admit(true)) || (idempotent && filter.try_admit(false))) {
            failed_non_idempotent += non_idempotent && fails ? 1 : 0;
            fails ? filter.on_failure(true) : filter.on_success();
        }
    }
    BOOST_TEST(failed_non_idempotent >= 1);
    BOOST_TEST(failed_non_idempotent <= 2);
    BOOST_TEST(filter.try_admit(true));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
