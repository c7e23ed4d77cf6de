// Pattern: many requests fail at once, most of them at the few nodes whose targets make the calls, on a fleet
// whose nodes restart; the repeats of all nodes together use the fleet's budget and stay in it.
#include "servers/admission/repeat_budget.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <ostream>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr repeat_budget_options fleet{.ratio = 0.2, .slack = 60, .window = 10s, .least_targets = 3};
constexpr std::uint32_t urgent = 1;
constexpr std::uint32_t not_urgent = 2;

int granted(repeat_budget& budget, std::uint32_t rank = urgent) {
    int count = 0;
    while (count < 10'000 && budget.try_take(rank)) {
        ++count;
    }
    return count;
}

struct budget_case {
    const char* name;
    std::size_t targets;       ///< As the gate knows them.
    std::chrono::seconds age;  ///< Since the gate's start.
    int first_arrivals;        ///< At this target, now.
    double inherited;          ///< Of each arrival.
    std::uint32_t rank;
    int granted;
};

std::ostream& operator<<(std::ostream& out, const budget_case& value) {
    return out << value.name;
}

constexpr budget_case budget_cases[] = {
    {"part of the fixed repeats", 12, 10s, 0, 0, urgent, 5},
    {"share of the arrivals", 12, 10s, 100, 0, urgent, 25},
    {"less urgent requests leave a quarter", 12, 10s, 100, 0, not_urgent, 18},
    {"a gate that just started has only its share", 12, 0s, 100, 0, urgent, 20},
    {"half of the window after the start", 12, 5s, 0, 0, urgent, 2},
    {"calls of repeated runs use the budget", 12, 10s, 100, 0.1, urgent, 15},
    {"calls of repeated runs alone exceed it", 12, 10s, 100, 0.5, urgent, 0},
    {"a lonely gate takes no more than the largest planned part", 1, 10s, 0, 0, urgent, 20},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(repeat_budgets)

// Guards against repeats beyond a target's part of the fleet's budget, and against a part that is not used.
BOOST_DATA_TEST_CASE(each_target_takes_its_part, budget_cases, row) {
    manual_time_source clock;
    repeat_budget budget(clock, fleet);
    budget.set_targets(row.targets);
    clock.advance(row.age);
    for (int i = 0; i < row.first_arrivals; ++i) {
        budget.on_first_arrival(row.inherited);
    }
    BOOST_TEST(granted(budget, row.rank) == row.granted);
}

// Guards against a budget that one sender cannot use because it is divided among senders: all failures come
// from one node here, and the gates still grant the fleet's whole budget.
BOOST_AUTO_TEST_CASE(one_sender_may_use_the_whole_budget) {
    constexpr std::size_t targets = 12;
    manual_time_source clock;
    std::vector<std::unique_ptr<repeat_budget>> gates;
    for (std::size_t i = 0; i < targets; ++i) {
        gates.push_back(std::make_unique<repeat_budget>(clock, fleet));
        gates.back()->set_targets(targets);
    }
    clock.advance(10s);
    int total = 0;
    for (const auto& gate : gates) {
        for (int i = 0; i < 50; ++i) {
            gate->on_first_arrival(0);
        }
        total += granted(*gate);
    }
    BOOST_TEST(total == 180);  // 0.2 of 600 first arrivals, and 60.
}

// Guards against more repeats than the budget in any window, whatever its start, while every request fails.
BOOST_AUTO_TEST_CASE(no_sliding_window_exceeds_the_budget) {
    constexpr int seconds = 60;
    constexpr int arrivals_per_s = 10;
    manual_time_source clock;
    repeat_budget budget(clock, fleet);
    budget.set_targets(12);
    std::vector<int> repeats;
    for (int tenth = 0; tenth < seconds * 10; ++tenth) {
        clock.advance(100ms);
        budget.on_first_arrival(0);
        repeats.push_back(granted(budget));
    }
    constexpr std::size_t window = 100;  // Tenths of a second.
    constexpr int most = arrivals_per_s * 10 / 5 + 5;
    int in_window = 0;
    for (std::size_t i = 0; i < repeats.size(); ++i) {
        in_window += repeats[i] - (i >= window ? repeats[i - window] : 0);
        BOOST_TEST_REQUIRE(in_window <= most);
    }
}

// Guards against a part that grows while a partition hides targets that go on spending theirs.
BOOST_AUTO_TEST_CASE(part_grows_only_after_a_window_with_fewer_targets) {
    manual_time_source clock;
    repeat_budget budget(clock, fleet);
    budget.set_targets(12);
    clock.advance(10s);
    budget.set_targets(6);
    BOOST_TEST(budget.left() == 5.0);
    clock.advance(9s);
    budget.set_targets(6);
    BOOST_TEST(budget.left() == 5.0);
    clock.advance(1s);
    budget.set_targets(6);
    BOOST_TEST(budget.left() == 10.0);
}

// Guards against an empty budget right after a lull that follows a burst: what arrived in the window before
// still counts.
BOOST_AUTO_TEST_CASE(arrivals_of_the_window_before_count) {
    manual_time_source clock;
    repeat_budget budget(clock, fleet);
    budget.set_targets(12);
    clock.advance(10s);
    for (int i = 0; i < 100; ++i) {
        budget.on_first_arrival(0);
    }
    clock.advance(12s);
    BOOST_TEST(granted(budget) == 25);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
