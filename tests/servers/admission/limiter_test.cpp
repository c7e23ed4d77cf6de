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

constexpr double limit = 100;

double fixed_limit(const limit_key&) {
    return limit;
}

/// Nodes that offer one account's requests in steps of 10 ms, and homes that answer their reports.
class limited_fleet {
public:
    explicit limited_fleet(std::size_t nodes) : homes_(1) {
        homes_[0] = std::make_unique<share_allocator>(clock_, options_, fixed_limit);
        for (std::size_t i = 0; i < nodes; ++i) {
            limiters_.push_back(std::make_unique<account_limiter>(clock_, options_, fixed_limit));
            home_of_node_.push_back(0);
        }
        set_size({static_cast<std::uint32_t>(nodes), static_cast<std::uint32_t>(nodes)});
    }

    void set_size(const fleet_size& size) {
        for (auto& limiter : limiters_) {
            limiter->on_fleet_size(size);
        }
        for (auto& home : homes_) {
            home->on_fleet_size(size);
        }
    }

    /// The second half of the nodes gets its grants from a home of its own.
    void split() {
        homes_.push_back(std::make_unique<share_allocator>(clock_, options_, fixed_limit));
        const auto half = static_cast<std::uint32_t>(limiters_.size() / 2);
        set_size({half, 2 * half});
        for (std::size_t i = half; i < limiters_.size(); ++i) {
            home_of_node_[i] = 1;
        }
    }

    void replace_home() { homes_[0] = std::make_unique<share_allocator>(clock_, options_, fixed_limit); }

    void lose_homes() { home_of_node_.assign(limiters_.size(), -1); }

    /// Offers the given rate at each node; the admitted requests per second of all nodes together.
    double run(std::chrono::seconds time, const std::vector<double>& rates) {
        std::size_t admitted = 0;
        const auto steps = time / 10ms;
        for (std::int64_t step = 0; step < steps; ++step) {
            clock_.advance(10ms);
            for (std::size_t i = 0; i < limiters_.size(); ++i) {
                for (debt_[i] += rates[i] / 100; debt_[i] >= 1; debt_[i] -= 1) {
                    admitted += limiters_[i]->admit("account", "limits").admitted ? 1 : 0;
                }
            }
            if (step % 10 == 0) {
                exchange();
            }
        }
        return static_cast<double>(admitted) / static_cast<double>(time.count());
    }

private:
    void exchange() {
        for (std::size_t i = 0; i < limiters_.size(); ++i) {
            for (const demand_report& report : limiters_[i]->on_tick()) {
                if (home_of_node_[i] >= 0) {
                    limiters_[i]->on_grant(homes_[static_cast<std::size_t>(home_of_node_[i])]->on_report(
                        {"n" + std::to_string(i), 1}, report));
                }
            }
        }
        for (auto& home : homes_) {
            home->on_tick();
        }
    }

    manual_time_source clock_;
    share_options options_;
    std::vector<std::unique_ptr<share_allocator>> homes_;
    std::vector<std::unique_ptr<account_limiter>> limiters_;
    std::vector<int> home_of_node_;
    std::deque<double> debt_ = std::deque<double>(64, 0.0);
};

struct demand_case {
    const char* name;
    std::vector<double> rates;  ///< Requests per second at each node.
    double least;               ///< Admitted requests per second, at least.
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

BOOST_AUTO_TEST_SUITE(limits)

// Guards against an account that gets more than its limit, or much less, for any spread of its demand.
BOOST_DATA_TEST_CASE(account_gets_its_limit, demand_cases, sample) {
    limited_fleet fleet(10);
    fleet.run(5s, sample.rates);
    const double admitted = fleet.run(20s, sample.rates);
    BOOST_TEST(admitted <= limit);
    BOOST_TEST(admitted >= sample.least);
}

// Guards against two groups of nodes that each give out the whole limit while they cannot hear each other.
BOOST_AUTO_TEST_CASE(groups_cut_off_share_the_limit) {
    limited_fleet fleet(10);
    const std::vector<double> rates(10, 50.0);
    fleet.run(5s, rates);
    fleet.split();
    fleet.run(4s, rates);
    BOOST_TEST(fleet.run(20s, rates) <= limit);
}

// Guards against an excess that outlasts the grants of the former home, or exceeds the stated bound.
BOOST_AUTO_TEST_CASE(change_of_home_stays_within_the_bound) {
    limited_fleet fleet(10);
    const std::vector<double> rates(10, 50.0);
    fleet.run(5s, rates);
    fleet.replace_home();
    BOOST_TEST(fleet.run(10s, rates) * 10 <= limit * (10 + 1) + limit * 3 + 10);
    BOOST_TEST(fleet.run(20s, rates) <= limit);
}

// Guards against nodes that stop all work, or all limits, when no home can be heard.
BOOST_AUTO_TEST_CASE(without_a_home_a_part_of_the_limit_stays) {
    limited_fleet fleet(10);
    const std::vector<double> rates(10, 50.0);
    fleet.run(5s, rates);
    fleet.lose_homes();
    fleet.run(4s, rates);
    const double admitted = fleet.run(20s, rates);
    BOOST_TEST(admitted >= 0.09 * limit);
    BOOST_TEST(admitted <= 0.11 * limit + 0.5);
}

// Guards against memory that grows with every account that was ever seen.
BOOST_AUTO_TEST_CASE(idle_accounts_take_no_memory) {
    manual_time_source clock;
    account_limiter limiter(clock, {.max_entries = 1'600}, fixed_limit);
    for (int i = 0; i < 5'000; ++i) {
        limiter.admit("account-" + std::to_string(i), "limits");
    }
    BOOST_TEST(limiter.entries() <= 1'600U);
    clock.advance(20s);
    limiter.on_tick();
    BOOST_TEST(limiter.entries() == 0U);
}

// Guards against places that are lost or given twice when shares of a zone move between nodes.
BOOST_AUTO_TEST_CASE(service_places_move_with_the_demand) {
    manual_time_source clock;
    share_options options;
    share_allocator home(clock, options, [](const limit_key&) { return 20.0; });
    std::vector<std::unique_ptr<service_limiter>> nodes;
    nodes.reserve(4);
    for (int i = 0; i < 4; ++i) {
        nodes.push_back(
            std::make_unique<service_limiter>(clock, options, "bne", [](const limit_key&) { return 20.0; }));
    }
    std::uint32_t most = 0;
    for (int second = 0; second < 40; ++second) {
        // First node 0 wants all places, then node 3.
        service_limiter& busy = *nodes[second < 20 ? 0 : 3];
        for (int i = 0; i < 30; ++i) {
            busy.begin("limits");
        }
        std::uint32_t running = 0;
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            for (const demand_report& report : nodes[i]->on_tick()) {
                nodes[i]->on_grant(home.on_report({"n" + std::to_string(i), 1}, report));
            }
            running += nodes[i]->running("limits");
        }
        most = std::max(most, running);
        if (second == 19) {
            BOOST_TEST(nodes[0]->running("limits") >= 16U);
            while (nodes[0]->running("limits") > 0) {
                nodes[0]->end("limits");
            }
        }
        home.on_tick();
        clock.advance(1s);
    }
    BOOST_TEST(nodes[3]->running("limits") >= 16U);
    BOOST_TEST(most <= 20U + nodes.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
