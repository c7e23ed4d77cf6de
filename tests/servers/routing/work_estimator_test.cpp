// Load of the customers' deployments: requests that look alike cost very different amounts of work. On one of
// them 3 in 100 take seven times the mean, on the other 1 in 100 takes three to five times.
#include "servers/routing/work_estimator.h"

#include <rapidcheck.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <ostream>
#include <string>
#include <vector>

#include "tests/fixed_seed.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

request_head head_of(const std::string& account, std::uint64_t route = 1, std::uint64_t bytes = 0) {
    request_head head;
    head.method = bytes > 0 ? "POST" : "GET";
    head.service = "files";
    head.account = account;
    head.work_class = route;
    head.has_body = bytes > 0;
    head.content_length = bytes;
    return head;
}

struct fixture {
    manual_time_source clock;
    work_estimator estimator{clock};

    void learn(const work_key& key, std::chrono::milliseconds work, int count) {
        for (int i = 0; i < count; ++i) {
            estimator.learn(key, work);
        }
    }
};

struct fallback_case {
    const char* name;
    int samples;  ///< Of the key itself, 100 ms each; its service has 200 of 20 ms.
    double low_ms;
    double high_ms;
};
std::ostream& operator<<(std::ostream& out, const fallback_case& item) {
    return out << item.name;
}
const std::vector<fallback_case> fallback_cases{
    {"unknown key: the service's mean", 0, 19, 22},
    {"one sample decides little", 1, 20, 45},
    {"many samples decide", 200, 85, 101},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(work_estimates)

// Guards against an estimate from one or two runs of a new route or account, and against one that ignores
// that a route costs more than the rest of its service.
BOOST_DATA_TEST_CASE(few_samples_fall_back_to_the_service, boost::unit_test::data::make(fallback_cases),
                     item) {
    fixture f;
    f.learn(make_work_key(head_of("", 1)), 20ms, 200);
    const work_key key = make_work_key(head_of("", 2));
    f.learn(key, 100ms, item.samples);
    BOOST_TEST(f.estimator.mean_ms(key) >= item.low_ms);
    BOOST_TEST(f.estimator.mean_ms(key) <= item.high_ms);
}

// Guards against keys that do not tell apart requests of different cost.
BOOST_AUTO_TEST_CASE(route_size_and_account_have_their_own_estimates) {
    fixture f;
    f.learn(make_work_key(head_of("a", 1)), 10ms, 400);
    f.learn(make_work_key(head_of("a", 1, 1'000'000)), 200ms, 400);
    f.learn(make_work_key(head_of("b", 1)), 60ms, 400);
    BOOST_TEST(f.estimator.mean_ms(make_work_key(head_of("a", 1))) < 20);
    BOOST_TEST(f.estimator.mean_ms(make_work_key(head_of("a", 1, 1'000'000))) > 150);
    BOOST_TEST(f.estimator.mean_ms(make_work_key(head_of("b", 1))) > 45);
}

// Guards against a long request that is expected to end any moment: a run that has outlasted the usual time
// belongs to the tail, and its slot stays taken.
BOOST_AUTO_TEST_CASE(remaining_time_grows_in_a_heavy_tail) {
    fixture f;
    const work_key key = make_work_key(head_of(""));
    for (int i = 0; i < 300; ++i) {
        f.estimator.learn(key, i % 100 < 3 ? 700ms : 80ms);
    }
    BOOST_TEST(f.estimator.remaining_ms(key, 0ms) < 120);
    BOOST_TEST(f.estimator.remaining_ms(key, 200ms) > 300);
    BOOST_TEST(f.estimator.remaining_ms(key, 600ms) < 250);
    BOOST_TEST(f.estimator.quantile_ms(key, 0.5) < 120);
    BOOST_TEST(f.estimator.quantile_ms(key, 0.99) > 500);
}

// Guards against an estimate that stays after a release has changed the cost of a route.
BOOST_AUTO_TEST_CASE(later_samples_replace_earlier_ones) {
    fixture f;
    const work_key key = make_work_key(head_of(""));
    f.learn(key, 500ms, 400);
    f.clock.advance(300s);
    f.learn(key, 20ms, 100);
    BOOST_TEST(f.estimator.mean_ms(key) < 150);
}

// Guards against memory that grows with the number of accounts: two years from now there are 320,000.
BOOST_AUTO_TEST_CASE(memory_is_bounded_and_keys_in_use_stay) {
    fixture f;
    const work_key busy = make_work_key(head_of("busy"));
    for (int i = 0; i < 20'000; ++i) {
        f.estimator.learn(make_work_key(head_of("account" + std::to_string(i))), 20ms);
        if (i % 100 == 0) {
            f.estimator.learn(busy, 300ms);
        }
    }
    BOOST_TEST(f.estimator.size() <= work_key::level_count * work_estimator_options{}.max_keys_per_level);
    BOOST_TEST(f.estimator.mean_ms(busy) > 200);
}

// Guards against estimates that are negative, infinite or outside of the samples, whatever was observed.
BOOST_AUTO_TEST_CASE(estimates_lie_within_the_samples) {
    const fixed_seed seed;
    const bool holds = rc::check([](const std::vector<std::uint32_t>& samples_us, std::uint32_t elapsed_us) {
        RC_PRE(!samples_us.empty());
        fixture f;
        const work_key key = make_work_key(head_of("a"));
        double largest_ms = 0;
        for (const std::uint32_t sample : samples_us) {
            f.estimator.learn(key, std::chrono::microseconds(sample));
            largest_ms = std::max(largest_ms, sample / 1'000.0);
        }
        const double mean = f.estimator.mean_ms(key);
        const double remaining = f.estimator.remaining_ms(key, std::chrono::microseconds(elapsed_us));
        RC_ASSERT(std::isfinite(mean) && mean >= 0);
        RC_ASSERT(mean <= largest_ms * 1.01 + 0.01);
        RC_ASSERT(std::isfinite(remaining) && remaining >= 0);
        RC_ASSERT(remaining <= 1.2 * largest_ms + 1);
        RC_ASSERT(f.estimator.quantile_ms(key, 0.1) <= f.estimator.quantile_ms(key, 0.9));
    });
    BOOST_TEST(holds);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
