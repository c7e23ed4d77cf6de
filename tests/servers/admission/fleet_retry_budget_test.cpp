// Many requests fail at once, most of them on the few nodes whose targets make the calls, while nodes
// restart. The retries of all nodes together must be able to use the fleet-wide budget and must not exceed
// it.
#include "servers/admission/fleet_retry_budget.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <numeric>
#include <ostream>
#include <random>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr fleet_retry_budget_options fleet_options{
    .ratio = 0.2, .slack = 60, .window = 10s, .min_target_count = 3};
constexpr std::uint32_t urgent_rank = 1;
constexpr std::uint32_t less_urgent_rank = 2;

int spend_all_retries(fleet_retry_budget& budget, std::uint32_t rank = urgent_rank) {
    int count = 0;
    while (count < 10'000 && budget.try_spend_retry(rank)) {
        ++count;
    }
    return count;
}

struct budget_case {
    const char* name;
    std::size_t targets;       ///< Number of targets that is set on the gate.
    std::chrono::seconds age;  ///< Since the gate's start.
    int first_arrivals;        ///< At this target, now.
    double retry_probability;  ///< Retry probability of each arrival.
    std::uint32_t rank;
    int expected_retries;
};

std::ostream& operator<<(std::ostream& out, const budget_case& value) {
    return out << value.name;
}

constexpr budget_case budget_cases[] = {
    {"share of the slack", 12, 10s, 0, 0, urgent_rank, 5},
    {"ratio of the arrivals and share of the slack", 12, 10s, 100, 0, urgent_rank, 25},
    {"less urgent requests leave a quarter unused", 12, 10s, 100, 0, less_urgent_rank, 18},
    {"a gate that just started has no slack", 12, 0s, 100, 0, urgent_rank, 20},
    {"half a window after the start", 12, 5s, 0, 0, urgent_rank, 2},
    {"requests caused by retries use the budget", 12, 10s, 100, 0.1, urgent_rank, 15},
    {"requests caused by retries exhaust the budget", 12, 10s, 100, 0.5, urgent_rank, 0},
    {"a single target gets at most the slack divided by the minimum count", 1, 10s, 0, 0, urgent_rank, 20},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_retry_budgets)

// Guards against retries beyond a target's share of the fleet-wide budget, and against unused shares.
BOOST_DATA_TEST_CASE(target_grants_its_share_of_the_budget, budget_cases, row) {
    manual_time_source clock;
    fleet_retry_budget budget(clock, fleet_options);
    budget.set_target_count(row.targets);
    clock.advance(row.age);
    for (int i = 0; i < row.first_arrivals; ++i) {
        budget.try_count_first_arrival(row.retry_probability);
    }
    BOOST_TEST(spend_all_retries(budget, row.rank) == row.expected_retries);
}

// Guards against a budget that is divided among senders, so that a single sender cannot use all of it. All
// failures come from one node here, and the gates together still grant the whole budget.
BOOST_AUTO_TEST_CASE(single_sender_can_use_the_whole_budget) {
    constexpr std::size_t targets = 12;
    manual_time_source clock;
    std::vector<std::unique_ptr<fleet_retry_budget>> gates;
    for (std::size_t i = 0; i < targets; ++i) {
        gates.push_back(std::make_unique<fleet_retry_budget>(clock, fleet_options));
        gates.back()->set_target_count(targets);
    }
    clock.advance(10s);
    int total = 0;
    for (const auto& gate : gates) {
        for (int i = 0; i < 50; ++i) {
            gate->try_count_first_arrival(0);
        }
        total += spend_all_retries(*gate);
    }
    BOOST_TEST(total == 180);  // 0.2 of 600 first arrivals, plus the slack of 60.
}

// Guards against more retries than the budget in any sliding window while every request fails.
BOOST_AUTO_TEST_CASE(no_sliding_window_exceeds_the_budget) {
    constexpr int seconds = 60;
    constexpr int arrivals_per_s = 10;
    manual_time_source clock;
    fleet_retry_budget budget(clock, fleet_options);
    budget.set_target_count(12);
    std::vector<int> retries;
    for (int tick = 0; tick < seconds * 10; ++tick) {
        clock.advance(100ms);
        budget.try_count_first_arrival(0);
        retries.push_back(spend_all_retries(budget));
    }
    constexpr std::size_t window = 100;  // Tenths of a second.
    constexpr int max_retries = arrivals_per_s * 10 / 5 + 5;
    int in_window = 0;
    for (std::size_t i = 0; i < retries.size(); ++i) {
        in_window += retries[i] - (i >= window ? retries[i - window] : 0);
        BOOST_TEST_REQUIRE(in_window <= max_retries);
    }
}

// Guards against a share that grows while a partition hides targets that still spend their shares.
BOOST_AUTO_TEST_CASE(share_grows_only_after_a_window_with_fewer_targets) {
    manual_time_source clock;
    fleet_retry_budget budget(clock, fleet_options);
    budget.set_target_count(12);
    clock.advance(10s);
    budget.set_target_count(6);
    BOOST_TEST(budget.remaining_retries() == 5.0);
    clock.advance(9s);
    budget.set_target_count(6);
    BOOST_TEST(budget.remaining_retries() == 5.0);
    clock.advance(1s);
    budget.set_target_count(6);
    BOOST_TEST(budget.remaining_retries() == 10.0);
}

// Guards against an empty budget during a pause after a burst, and against arrivals that count in two
// windows.
BOOST_AUTO_TEST_CASE(only_the_slack_remains_after_a_burst) {
    manual_time_source clock;
    fleet_retry_budget budget(clock, fleet_options);
    budget.set_target_count(12);
    clock.advance(10s);
    for (int i = 0; i < 100; ++i) {
        budget.try_count_first_arrival(0);
    }
    clock.advance(12s);
    BOOST_TEST(spend_all_retries(budget) == 5);
}

// Pattern: a burst while several of eight targets shed all requests, so that the requests move between
// targets from one window to the next. Guards against the shares of the gates adding up to more than the
// budget of the fleet: 0.2 of the larger of two successive windows, plus the slack.
BOOST_DATA_TEST_CASE(shares_of_moving_traffic_stay_within_the_budget, boost::unit_test::data::xrange(30),
                     seed) {
    constexpr std::size_t targets = 8;
    constexpr std::size_t window = 10;
    constexpr std::size_t seconds = 60;
    std::mt19937_64 random(static_cast<std::uint64_t>(seed));
    manual_time_source clock;
    std::vector<std::unique_ptr<fleet_retry_budget>> gates;
    for (std::size_t i = 0; i < targets; ++i) {
        gates.push_back(std::make_unique<fleet_retry_budget>(clock, fleet_options));
        gates.back()->set_target_count(targets);
    }
    std::vector<double> arrivals(seconds);
    std::vector<double> retries(seconds);
    std::size_t first_preferred = 0;
    for (std::size_t second = 0; second < seconds; ++second) {
        if (second % window == 0) {
            first_preferred = random() % targets;
        }
        const std::size_t requests = second / window % 2 == 0 ? 40 : 20;
        for (std::size_t i = 0; i < requests; ++i) {
            gates[(first_preferred + random() % 3) % targets]->try_count_first_arrival(0);
        }
        arrivals[second] = static_cast<double>(requests);
        for (const auto& gate : gates) {
            retries[second] += spend_all_retries(*gate);
        }
        clock.advance(1s);
    }
    const auto sum = [](const std::vector<double>& counts, std::size_t from) {
        return std::accumulate(counts.begin() + static_cast<std::ptrdiff_t>(from),
                               counts.begin() + static_cast<std::ptrdiff_t>(from + window), 0.0);
    };
    for (std::size_t from = window; from + window <= seconds; ++from) {
        const double allowed =
            fleet_options.ratio * std::max(sum(arrivals, from), sum(arrivals, from - window)) +
            fleet_options.slack;
        BOOST_TEST(sum(retries, from) <= allowed);
    }
}

// Pattern: targets shed most requests of a service that others call. Requests of the calling service fail and
// are repeated, and each repeat makes its calls again. Guards against calls of repeated requests that exceed
// the budget of the called service after its own retries have used it up.
BOOST_AUTO_TEST_CASE(calls_of_repeated_requests_stay_within_the_budget) {
    manual_time_source clock;
    fleet_retry_budget budget(clock, fleet_options);
    budget.set_target_count(12);
    clock.advance(10s);
    double first_arrivals = 0;
    double retries = 0;
    for (int second = 0; second < 8; ++second) {
        for (int i = 0; i < 10; ++i) {
            first_arrivals += budget.try_count_first_arrival(0) ? 1 : 0;
        }
        retries += spend_all_retries(budget);
        for (int i = 0; i < 20; ++i) {
            const bool counted = budget.try_count_first_arrival(1);
            first_arrivals += counted ? 1 : 0;
            retries += counted ? 1 : 0;
        }
        clock.advance(1s);
    }
    BOOST_TEST(first_arrivals >= 80);
    BOOST_TEST(retries <= 0.2 * first_arrivals + 5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
