#include "modules/baseline/baseline_policy.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(baseline)

// Guards against a baseline that favours a target, which would make comparisons with it unfair.
BOOST_AUTO_TEST_CASE(choice_is_even) {
    baseline_policy subject(3);
    BOOST_TEST(!subject.choose().has_value());
    const std::vector<target_identity> targets{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
    subject.update(targets);
    std::map<std::string, int> drawn;
    for (int i = 0; i < 8'000; ++i) {
        ++drawn[subject.choose()->name];
    }
    for (const target_identity& target : targets) {
        BOOST_TEST(drawn[target.name] > 1'800, target.name);  // 2,000 less 5 standard deviations.
    }
}

struct retry_case {
    const char* name;
    failed_attempt attempt;
    bool expected;
};
std::ostream& operator<<(std::ostream& out, const retry_case& item) {
    return out << item.name;
}
const std::vector<retry_case> cases{
    {"idempotent", {}, true},
    {"not run", {.execution = execution_state::not_run, .non_idempotent = true}, true},
    {"may have run", {.non_idempotent = true}, false},
    {"second attempt", {.attempts = 2}, false},
    {"answer started", {.head_written = true}, false},
};

// Guards against a baseline that runs a non-idempotent request twice.
BOOST_DATA_TEST_CASE(one_retry_when_safe, boost::unit_test::data::make(cases), item) {
    BOOST_TEST(baseline_policy::retries(item.attempt) == item.expected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
