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

// Guards against runs that cannot be repeated, and against seeds without effect.
BOOST_AUTO_TEST_CASE(the_seed_decides_the_arrivals) {
    const std::vector<planned_send> once = plan_arrivals(make_options(7));
    const std::vector<planned_send> again = plan_arrivals(make_options(7));
    BOOST_REQUIRE_EQUAL(once.size(), again.size());
    for (std::size_t i = 0; i < once.size(); ++i) {
        BOOST_TEST(once[i].call_id == again[i].call_id);
        BOOST_TEST(once[i].at.count() == again[i].at.count());
    }
    BOOST_TEST(plan_arrivals(make_options(8)).front().at.count() != once.front().at.count());
}

// Guards against a rate or a mix that differs from the options; the bound is four standard deviations.
BOOST_AUTO_TEST_CASE(rate_and_mix_follow_the_options) {
    load_options options = make_options(1);
    options.mix = {0.5, 0.3, 0.25};
    const std::vector<planned_send> sends = plan_arrivals(options);
    double first = 0;
    double get = 0;
    double unkeyed = 0;
    double keyed = 0;
    double resent = 0;
    for (const planned_send& send : sends) {
        first += send.first ? 1 : 0;
        get += send.post ? 0 : 1;
        unkeyed += send.post && send.key.empty() ? 1 : 0;
        keyed += send.first && !send.key.empty() ? 1 : 0;
        resent += send.first ? 0 : 1;
    }
    BOOST_TEST(std::abs(first - 10'000) < 400);
    BOOST_TEST(std::abs(get / first - 0.5) < 0.02);
    BOOST_TEST(std::abs(unkeyed / first - 0.3) < 0.0184);
    BOOST_TEST(std::abs(resent / keyed - 0.25) < 0.039);
}

// Guards against shared call ids, re-sends through the same listener, and moments out of order.
BOOST_AUTO_TEST_CASE(a_resend_is_its_own_call_through_another_listener) {
    const load_options options = make_options(3);
    const std::vector<planned_send> sends = plan_arrivals(options);
    std::map<std::string, planned_send> first_of_key;
    std::map<std::string, int> ids;
    BOOST_TEST(std::is_sorted(sends.begin(), sends.end(),
                              [](const auto& left, const auto& right) { return left.at < right.at; }));
    std::size_t resent = 0;
    for (const planned_send& send : sends) {
        BOOST_TEST(++ids[send.call_id] == 1);
        if (send.first && !send.key.empty()) {
            BOOST_TEST(first_of_key.emplace(send.key, send).second);
        } else if (!send.first) {
            const planned_send& first = first_of_key.at(send.key);
            ++resent;
            BOOST_TEST(first.caller != send.caller);
            BOOST_TEST(first.host == send.host);
            BOOST_TEST((send.at - first.at == options.resend_after));
        }
    }
    BOOST_TEST(resent > 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
