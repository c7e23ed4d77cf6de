#include "main/load/arrival_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace teaselpitch {
namespace {

load_options make_options(std::uint64_t seed) {
    load_options options;
    options.callers = {{"127.0.0.1", 1}, {"127.0.0.1", 2}, {"127.0.0.1", 3}};
    options.hosts = {"vitrine.example", "contratos.example"};
    options.rate = 500;
    options.duration = std::chrono::seconds(20);
    options.seed = seed;
    return options;
}

BOOST_AUTO_TEST_SUITE(arrival_schedule_tests)

// Guards against runs that can't be reproduced and against a seed that has no effect.
BOOST_AUTO_TEST_CASE(same_seed_gives_same_arrivals) {
    const std::vector<planned_request> first_plan = plan_arrivals(make_options(7));
    const std::vector<planned_request> second_plan = plan_arrivals(make_options(7));
    BOOST_REQUIRE_EQUAL(first_plan.size(), second_plan.size());
    for (std::size_t i = 0; i < first_plan.size(); ++i) {
        BOOST_TEST(first_plan[i].call_id == second_plan[i].call_id);
        BOOST_TEST(first_plan[i].at.count() == second_plan[i].at.count());
    }
    BOOST_TEST(plan_arrivals(make_options(8)).front().at.count() != first_plan.front().at.count());
}

// Guards against a rate or a mix that differs from the options. The bounds are four standard deviations.
BOOST_AUTO_TEST_CASE(rate_and_mix_follow_the_options) {
    load_options options = make_options(1);
    options.mix = {0.5, 0.3, 0.25};
    const std::vector<planned_request> requests = plan_arrivals(options);
    double first = 0;
    double get = 0;
    double unkeyed = 0;
    double keyed = 0;
    double resent = 0;
    for (const planned_request& planned : requests) {
        first += planned.is_first ? 1 : 0;
        get += planned.is_post ? 0 : 1;
        unkeyed += planned.is_post && planned.key.empty() ? 1 : 0;
        keyed += planned.is_first && !planned.key.empty() ? 1 : 0;
        resent += planned.is_first ? 0 : 1;
    }
    BOOST_TEST(std::abs(first - 10'000) < 400);
    BOOST_TEST(std::abs(get / first - 0.5) < 0.02);
    BOOST_TEST(std::abs(unkeyed / first - 0.3) < 0.0184);
    BOOST_TEST(std::abs(resent / keyed - 0.25) < 0.039);
}

// Guards against duplicate call ids, repeated sends through the same listener and unsorted send times.
BOOST_AUTO_TEST_CASE(resend_has_own_call_id_and_other_listener) {
    const load_options options = make_options(3);
    const std::vector<planned_request> requests = plan_arrivals(options);
    std::map<std::string, planned_request> first_of_key;
    std::map<std::string, int> ids;
    BOOST_TEST(std::is_sorted(requests.begin(), requests.end(),
                              [](const auto& left, const auto& right) { return left.at < right.at; }));
    std::size_t resent = 0;
    for (const planned_request& planned : requests) {
        BOOST_TEST(++ids[planned.call_id] == 1);
        if (planned.is_first && !planned.key.empty()) {
            BOOST_TEST(first_of_key.emplace(planned.key, planned).second);
        } else if (!planned.is_first) {
            const planned_request& first = first_of_key.at(planned.key);
            ++resent;
            BOOST_TEST(first.caller != planned.caller);
            BOOST_TEST(first.host == planned.host);
            BOOST_TEST((planned.at - first.at == options.resend_after));
        }
    }
    BOOST_TEST(resent > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
