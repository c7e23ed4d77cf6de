// Pattern: many clients fail at once on a fleet whose nodes restart; the repeats of all nodes together stay
// in a budget.
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "servers/routing/retry_policy.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

struct budget_case {
    const char* name;
    std::size_t nodes;  ///< As the node knows them.
    int requests;       ///< Taken in by this node.
    int granted;        ///< Repeats out of 1,000 wishes.
};

std::ostream& operator<<(std::ostream& out, const budget_case& value) {
    return out << value.name;
}

// The fleet's fixed part is 8/s, that is 80 in the window of 10 s, and the share is 0.1 of the requests.
constexpr budget_case budget_cases[] = {
    {"part of a fleet of 20", 20, 0, 4},
    {"part of a fleet of 20 with traffic", 20, 100, 14},
    {"a lonely node takes no more than the smallest part that is planned", 1, 0, 5},
    {"a large fleet leaves no whole repeat", 100, 0, 0},
};

int granted(retry_policy& policy, const manual_time_source& clock, bool reached) {
    int count = 0;
    for (int i = 0; i < 1'000; ++i) {
        failed_attempt attempt;
        attempt.error = error_kind::target_refused;
        attempt.execution = execution_state::not_run;
        attempt.deadline = clock.now() + 1s;
        attempt.reached_target = reached;
        count += policy.on_failure(attempt).retry ? 1 : 0;
    }
    return count;
}

constexpr retry_options shared_budget{
    .budget_share = 0.1, .fleet_floor_per_s = 8, .least_nodes = 16, .counts_requests = true};

}  // namespace

BOOST_AUTO_TEST_SUITE(fleet_budget)

// Guards against repeats of all nodes together beyond the fleet's budget.
BOOST_DATA_TEST_CASE(each_node_takes_its_part, budget_cases, row) {
    manual_time_source clock;
    retry_policy policy(clock, shared_budget);
    policy.set_nodes(row.nodes);
    for (int i = 0; i < row.requests; ++i) {
        policy.on_request();
    }
    BOOST_TEST(granted(policy, clock, true) == row.granted);
}

// Guards against a part that grows when a partition hides the other nodes, which go on spending theirs.
BOOST_AUTO_TEST_CASE(part_does_not_grow_when_nodes_disappear) {
    manual_time_source clock;
    retry_policy policy(clock, shared_budget);
    policy.set_nodes(20);
    policy.set_nodes(2);
    BOOST_TEST(granted(policy, clock, true) == 4);
}

// Guards against a budget that is spent on refusals which no target saw.
BOOST_AUTO_TEST_CASE(refusals_before_a_target_cost_nothing) {
    manual_time_source clock;
    retry_policy policy(clock, shared_budget);
    policy.set_nodes(20);
    BOOST_TEST(granted(policy, clock, false) == 1'000);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
