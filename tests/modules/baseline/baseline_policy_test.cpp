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

// Guards against a baseline that prefers some targets, which would make comparisons with it unfair.
BOOST_AUTO_TEST_CASE(targets_are_chosen_uniformly) {
    baseline_policy policy(3);
    BOOST_TEST(!policy.choose_target().has_value());
    const std::vector<target_identity> targets{{"a", 1}, {"b", 1}, {"c", 1}, {"d", 1}};
    policy.replace_targets(targets);
    std::map<std::string, int> choice_counts;
    for (int i = 0; i < 8'000; ++i) {
        ++choice_counts[policy.choose_target()->name];
    }
    for (const target_identity& target : targets) {
        BOOST_TEST(choice_counts[target.name] > 1'800,
                   target.name);  // Mean of 2,000 minus 5 standard deviations.
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
const std::vector<retry_case> retry_cases{
    {"idempotent", {}, true},
    {"not run", {.execution = execution_state::not_run, .non_idempotent = true}, true},
    {"may have run", {.non_idempotent = true}, false},
    {"second attempt", {.attempts = 2}, false},
    {"answer started", {.head_written = true}, false},
};

// Guards against retrying a non-idempotent request that may have been executed.
BOOST_DATA_TEST_CASE(first_attempt_is_retried_if_safe, boost::unit_test::data::make(retry_cases), item) {
    BOOST_TEST(baseline_policy::should_retry(item.attempt) == item.expected);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
