#include "servers/health/service_digest.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(digests)

using namespace std::chrono_literals;

target_summary summary_of(int number, double log_latency, std::uint64_t failures) {
    return {.target = "t" + std::to_string(number),
            .requests = 100,
            .failures = failures,
            .mean_log_latency = log_latency,
            .log_latency_deviation = 0.5};
}

struct gray_case {
    int gray;
    bool baseline_moves;
};
std::ostream& operator<<(std::ostream& out, const gray_case& item) {
    return out << item.gray << " of 9 gray";
}
const std::vector<gray_case> gray_counts{{0, false}, {1, false}, {3, false}, {6, true}, {9, true}};

// Guards against a few targets with gray failures that shift the baseline, and against a general slow-down
// that the baseline does not follow.
BOOST_DATA_TEST_CASE(baseline_moves_only_with_the_majority, boost::unit_test::data::make(gray_counts), item) {
    const manual_time_source clock;
    service_digest digest(clock, {});
    for (int i = 0; i < 9; ++i) {
        const bool gray = i < item.gray;
        const std::vector<target_summary> one{summary_of(i, gray ? 4.6 : 2.3, gray ? 50 : 2)};
        digest.on_summaries("n" + std::to_string(i), 1, one);
    }
    const service_baseline baseline = digest.baseline_excluding("t8");
    BOOST_TEST(baseline.targets == 8U);
    BOOST_TEST((baseline.log_latency > 3.0) == item.baseline_moves);
    BOOST_TEST((baseline.failure_rate > 0.1) == item.baseline_moves);
}

// Guards against a baseline from old, repeated, nearly empty or malformed summaries.
BOOST_AUTO_TEST_CASE(stale_and_malformed_summaries_are_ignored) {
    manual_time_source clock;
    service_digest digest(clock, {});
    std::vector<target_summary> summaries{summary_of(0, 2.0, 0), summary_of(1, std::nan(""), 0),
                                          summary_of(2, 2.0, 101)};
    summaries.push_back({.target = "t3", .requests = 1});
    digest.on_summaries("n", 5, summaries);
    BOOST_TEST(digest.usable_targets() == 1U);
    digest.on_summaries("n", 5, std::vector<target_summary>{summary_of(0, 9.0, 0)});
    BOOST_TEST(digest.baseline_excluding("").log_latency == 2.0);
    clock.advance(5'001ms);
    BOOST_TEST(digest.baseline_excluding("").targets == 0U);
    digest.on_tick();
    digest.on_summaries("n", 1, std::vector<target_summary>{summary_of(0, 9.0, 0)});
    BOOST_TEST(digest.baseline_excluding("").log_latency == 9.0);
    BOOST_TEST(digest.baseline_excluding("t0").targets == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
