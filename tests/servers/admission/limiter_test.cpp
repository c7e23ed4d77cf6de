#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <ostream>
#include <string>
#include <vector>

#include "servers/admission/account_limiter.h"
#include "servers/admission/service_limiter.h"
#include "servers/admission/share_allocator.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr double limit_per_s = 100;

double fixed_limit(const limit_key&) {
    return limit_per_s;
}

/// Simulates nodes that receive requests of one account in steps of 10 ms, and home nodes that grant shares.
class rate_limited_fleet {
public:
    explicit rate_limited_fleet(std::size_t nodes) : home_nodes_(1) {
        home_nodes_[0] = std::make_unique<share_allocator>(clock_, options_, fixed_limit);
        for (std::size_t i = 0; i < nodes; ++i) {
            limiters_.push_back(std::make_unique<account_limiter>(clock_, options_, fixed_limit));
            home_index_.push_back(0);
        }
        set_fleet_size({static_cast<std::uint32_t>(nodes), static_cast<std::uint32_t>(nodes)});
    }

    void set_fleet_size(const fleet_size& size) {
        for (auto& limiter : limiters_) {
            limiter->on_fleet_size(size);
        }
        for (auto& home : home_nodes_) {
            home->on_fleet_size(size);
        }
    }

    /// Separates the second half of the nodes, which then get their grants from a home node of their own.
    void partition_nodes() {
        home_nodes_.push_back(std::make_unique<share_allocator>(clock_, options_, fixed_limit));
        const auto half = static_cast<std::uint32_t>(limiters_.size() / 2);
        set_fleet_size({half, 2 * half});
        for (std::size_t i = half; i < limiters_.size(); ++i) {
            home_index_[i] = 1;
        }
    }

    void replace_home_node() {
        home_nodes_[0] = std::make_unique<share_allocator>(clock_, options_, fixed_limit);
    }

    void disconnect_home_nodes() { home_index_.assign(limiters_.size(), -1); }

    /// Offers the given rate at each node; returns the admitted requests per second of all nodes together.
    double offer_load(std::chrono::seconds time, const std::vector<double>& rates) {
        std::size_t admitted = 0;
        const auto steps = time / 10ms;
        for (std::int64_t step = 0; step < steps; ++step) {
            clock_.advance(10ms);
            for (std::size_t i = 0; i < limiters_.size(); ++i) {
                for (pending_requests_[i] += rates[i] / 100; pending_requests_[i] >= 1;
                     pending_requests_[i] -= 1) {
                    admitted += limiters_[i]->admit("account", "limits").admitted ? 1 : 0;
                }
            }
            if (step % 10 == 0) {
                exchange_reports();
            }
        }
        return static_cast<double>(admitted) / static_cast<double>(time.count());
    }

private:
    void exchange_reports() {
        for (std::size_t i = 0; i < limiters_.size(); ++i) {
            for (const demand_report& report : limiters_[i]->on_tick()) {
                if (home_index_[i] >= 0) {
                    limiters_[i]->on_grant(home_nodes_[static_cast<std::size_t>(home_index_[i])]->on_report(
                        {"n" + std::to_string(i), 1}, report));
                }
            }
        }
        for (auto& home : home_nodes_) {
            home->on_tick();
        }
    }

    manual_time_source clock_;
    share_options options_;
    std::vector<std::unique_ptr<share_allocator>> home_nodes_;
    std::vector<std::unique_ptr<account_limiter>> limiters_;
    std::vector<int> home_index_;
    std::deque<double> pending_requests_ = std::deque<double>(64, 0.0);
};

struct demand_case {
    const char* name;
    std::vector<double> rates;  ///< Offered requests per second at each node.
    double min_admitted_per_s;  ///< Lower bound of the admitted requests per second.
};

std::ostream& operator<<(std::ostream& out, const demand_case& value) {
    return out << value.name;
}

const demand_case demand_cases[] = {
    {"half of the limit, evenly", std::vector<double>(10, 5.0), 49},
    {"half of the limit at one node", {50, 0, 0, 0, 0, 0, 0, 0, 0, 0}, 49},
    {"twice the limit, evenly", std::vector<double>(10, 20.0), 90},
    {"twice the limit, unevenly", {150, 10, 10, 10, 10, 10, 0, 0, 0, 0}, 90},
    {"ten times the limit at one node", {1000, 0, 0, 0, 0, 0, 0, 0, 0, 0}, 90},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(admission_limiters)

// Guards against admitting more than the limit of an account, or much less, for any distribution of its
// demand.
BOOST_DATA_TEST_CASE(account_is_admitted_up_to_its_limit, demand_cases, sample) {
    rate_limited_fleet fleet(10);
    fleet.offer_load(5s, sample.rates);
    const double admitted = fleet.offer_load(20s, sample.rates);
    BOOST_TEST(admitted <= limit_per_s);
    BOOST_TEST(admitted >= sample.min_admitted_per_s);
}

// Guards against two partitioned groups of nodes that each grant the whole limit.
BOOST_AUTO_TEST_CASE(partitioned_groups_stay_within_the_limit) {
    rate_limited_fleet fleet(10);
    const std::vector<double> rates(10, 50.0);
    fleet.offer_load(5s, rates);
    fleet.partition_nodes();
    fleet.offer_load(4s, rates);
    BOOST_TEST(fleet.offer_load(20s, rates) <= limit_per_s);
}

// Guards against an excess after a change of the home node that lasts longer than the previous grants or
// exceeds the documented bound.
BOOST_AUTO_TEST_CASE(home_node_change_stays_within_the_bound) {
    rate_limited_fleet fleet(10);
    const std::vector<double> rates(10, 50.0);
    fleet.offer_load(5s, rates);
    fleet.replace_home_node();
    BOOST_TEST(fleet.offer_load(10s, rates) * 10 <= limit_per_s * (10 + 1) + limit_per_s * 3 + 10);
    BOOST_TEST(fleet.offer_load(20s, rates) <= limit_per_s);
}

// Guards against nodes that refuse all requests, or enforce no limit, when no home node is reachable.
BOOST_AUTO_TEST_CASE(ungranted_part_remains_without_a_home_node) {
    rate_limited_fleet fleet(10);
    const std::vector<double> rates(10, 50.0);
    fleet.offer_load(5s, rates);
    fleet.disconnect_home_nodes();
    fleet.offer_load(4s, rates);
    const double admitted = fleet.offer_load(20s, rates);
    BOOST_TEST(admitted >= 0.09 * limit_per_s);
    BOOST_TEST(admitted <= 0.11 * limit_per_s + 0.5);
}

// Guards against memory that grows with every account that ever sent a request.
BOOST_AUTO_TEST_CASE(idle_accounts_are_removed) {
    manual_time_source clock;
    account_limiter limiter(clock, {.max_entries = 1'600}, fixed_limit);
    for (int i = 0; i < 5'000; ++i) {
        limiter.admit("account-" + std::to_string(i), "limits");
    }
    BOOST_TEST(limiter.entry_count() <= 1'600U);
    clock.advance(20s);
    limiter.on_tick();
    BOOST_TEST(limiter.entry_count() == 0U);
}

// Guards against concurrency that is lost or granted twice when the shares of a zone move between nodes.
BOOST_AUTO_TEST_CASE(service_shares_follow_the_demand) {
    manual_time_source clock;
    share_options options;
    share_allocator home(clock, options, [](const limit_key&) { return 20.0; });
    std::vector<std::unique_ptr<service_limiter>> nodes;
    nodes.reserve(4);
    for (int i = 0; i < 4; ++i) {
        nodes.push_back(
            std::make_unique<service_limiter>(clock, options, "bne", [](const limit_key&) { return 20.0; }));
    }
    std::uint32_t max_running = 0;
    for (int second = 0; second < 40; ++second) {
        // First only node 0 has demand, then only node 3.
        service_limiter& busy = *nodes[second < 20 ? 0 : 3];
        for (int i = 0; i < 30; ++i) {
            busy.try_acquire("limits");
        }
        std::uint32_t running = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            for (const demand_report& report : nodes[i]->on_tick()) {
                nodes[i]->on_grant(home.on_report({"n" + std::to_string(i), 1}, report));
            }
            running += nodes[i]->running_count("limits");
        }
        max_running = std::max(max_running, running);
        if (second == 19) {
            BOOST_TEST(nodes[0]->running_count("limits") >= 16U);
            while (nodes[0]->running_count("limits") > 0) {
                nodes[0]->release("limits");
            }
        }
        home.on_tick();
        clock.advance(1s);
    }
    BOOST_TEST(nodes[3]->running_count("limits") >= 16U);
    BOOST_TEST(max_running <= 20U + nodes.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
