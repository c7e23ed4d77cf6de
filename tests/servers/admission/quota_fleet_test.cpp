#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <iterator>
#include <memory>
#include <optional>
#include <ostream>
#include <random>

#include "servers/admission/quota_bank.h"
#include "servers/admission/quota_wallet.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr milliseconds step{5};
constexpr milliseconds round_trip{10};
constexpr milliseconds call_timeout{300};
constexpr std::string_view account = "pulo780";

/// Prints the rows of all tables by their names.
template <typename Row>
requires requires(const Row& row) {
    row.name;
}
std::ostream& operator<<(std::ostream& out, const Row& row) {
    return out << row.name;
}

/// One node as far as quotas are concerned.
struct node {
    node(const time_source& clock, std::string node_name)
        : name(std::move(node_name)),
          view(clock, name),
          bank(clock, view),
          wallet(clock, stable_hash(name)) {}

    const std::string name;
    quota_view view;
    quota_bank bank;
    quota_wallet wallet;
    std::uint32_t waiting = 0;
};

/// An answer of a home, or none, that arrives at a later time.
struct answer {
    steady_time due;
    std::size_t node;
    quota_ask ask;
    std::optional<quota_grant> grant{};
    std::uint64_t home = 0;
};

/// Nodes in one process with one account. Messages take a fixed time, or are lost between groups.
class fleet {
public:
    fleet(std::size_t size, account_quota quota) : quota(quota), group(size, 0), seen_group(size, 0) {
        nodes.resize(size);
        for (std::size_t i = 0; i < size; ++i) {
            restart(i);
        }
        for (std::size_t i = 0; i < size; ++i) {
            publish_view(i);
        }
        run(10'000ms, [](std::size_t) { return 0.0; });  // All started long before the traffic.
    }

    void restart(std::size_t index) {
        nodes[index] = std::make_unique<node>(clock, "node-" + std::to_string(index));
    }

    /// Gives a node the view of its group that was detected last: members of other groups are not alive.
    void publish_view(std::size_t index) {
        quota_members members;
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            if (nodes[other] && seen_group[other] == seen_group[index]) {
                members.alive.push_back(nodes[other]->name);
            }
        }
        members.confirmed = members.alive.size();
        members.possible = nodes.size();
        if (nodes[index]) {
            nodes[index]->view.on_members(members);
        }
    }

    std::size_t home() {
        return std::stoul(nodes[0]->view.home_of(account).substr(std::string_view("node-").size()));
    }

    /// Lets requests arrive for some time as a Poisson process with a rate for each node.
    void run(milliseconds duration, const std::function<double(std::size_t node)>& rate_of) {
        const steady_time end = clock.now() + duration;
        while (clock.now() < end) {
            clock.advance(step);
            deliver();
            for (std::size_t i = 0; i < nodes.size(); ++i) {
                const double mean = rate_of(i) * std::chrono::duration<double>(step).count();
                const int arrivals = mean > 0 ? std::poisson_distribution<int>(mean)(random_) : 0;
                for (int n = 0; nodes[i] && n < arrivals; ++n) {
                    arrive(i);
                }
            }
            if (++steps_ % 20 == 0) {
                tick();
            }
        }
    }

    /// Largest number of admitted requests above the bound in any window of 5 s; not above 0 when it holds.
    double worst_excess() const {
        const double bound = (quota.requests_per_s * 5 + quota.burst) * 1.1 + 20;
        std::ptrdiff_t worst = 0;
        for (auto first = admitted.begin(), last = first; last != admitted.end(); ++last) {
            while (*last - *first >= 5s) {
                ++first;
            }
            worst = std::max(worst, last - first + 1);
        }
        return static_cast<double>(worst) - bound;
    }

    /// Admitted requests as a part of what one bucket for the whole fleet admits.
    double admitted_share() const {
        double tokens = initial_tokens;
        std::size_t within = 0;
        steady_time filled_at = offered.empty() ? steady_time{} : offered.front();
        for (const steady_time at : offered) {
            tokens =
                std::min(quota.burst, tokens + quota.requests_per_s *
                                                   std::chrono::duration<double>(at - filled_at).count());
            filled_at = at;
            if (tokens >= 1) {
                tokens -= 1;
                ++within;
            }
        }
        return within == 0
                   ? 1
                   : std::min(1.0, static_cast<double>(admitted.size()) / static_cast<double>(within));
    }

    /// Starts a new record, which does not count on a full bucket.
    void clear_record() {
        offered.clear();
        admitted.clear();
        initial_tokens = 0;
    }

    manual_time_source clock;
    account_quota quota;
    std::vector<std::unique_ptr<node>> nodes;
    std::vector<int> group;       ///< Nodes of different groups don't reach each other.
    std::vector<int> seen_group;  ///< The same, as far as it was detected.
    std::vector<steady_time> offered;
    std::vector<steady_time> admitted;
    std::size_t asks = 0;
    double initial_tokens = quota.burst;

private:
    void arrive(std::size_t index) {
        offered.push_back(clock.now());
        const quota_take taken = nodes[index]->wallet.take(account, quota);
        if (taken.result == quota_take::outcome::admitted) {
            admitted.push_back(clock.now());
        } else if (taken.result == quota_take::outcome::undecided) {
            ++nodes[index]->waiting;
            ask(index);
        }
    }

    void ask(std::size_t index) {
        node& from = *nodes[index];
        if (!from.wallet.begin_ask(account)) {
            return;
        }
        ++asks;
        answer reply{clock.now() + call_timeout, index, from.wallet.make_ask(account, from.waiting)};
        const std::string home = from.view.home_of(account);
        for (std::size_t other = 0; other < nodes.size(); ++other) {
            if (nodes[other] && nodes[other]->name == home && group[other] == group[index]) {
                const quota_grant grant = nodes[other]->bank.grant(account, reply.ask.wanted, quota);
                reply.due = clock.now() + (other == index ? 0ms : round_trip);
                reply.grant = grant.decided ? std::optional(grant) : std::nullopt;
                reply.home = other;
            }
        }
        answers_.push_back(std::move(reply));
    }

    void deliver() {
        const auto is_due = [this](const answer& reply) { return reply.due <= clock.now(); };
        std::vector<answer> due;
        std::copy_if(answers_.begin(), answers_.end(), std::back_inserter(due), is_due);
        std::erase_if(answers_, is_due);
        for (const answer& reply : due) {
            if (nodes[reply.node]) {
                finish(reply);
            }
        }
    }

    void finish(const answer& reply) {
        node& to = *nodes[reply.node];
        if (reply.grant) {
            to.wallet.on_grant(reply.ask, reply.grant->granted, reply.grant->retry_after, reply.home);
        } else {
            to.wallet.on_failure(reply.ask);
        }
        std::uint32_t undecided = 0;
        for (; to.waiting > 0; --to.waiting) {
            const quota_take taken = to.wallet.take_again(account);
            if (taken.result == quota_take::outcome::admitted) {
                admitted.push_back(clock.now());
            }
            undecided += taken.result == quota_take::outcome::undecided ? 1 : 0;
        }
        to.waiting = undecided;
        if (undecided > 0) {
            ask(reply.node);
        }
    }

    void tick() {
        for (std::size_t i = 0; i < nodes.size(); ++i) {
            if (!nodes[i]) {
                continue;
            }
            nodes[i]->wallet.set_possible_members(nodes[i]->view.is_settled() ? nodes.size() : 0);
            for (const quota_return& unused : nodes[i]->wallet.on_tick()) {
                if (nodes[unused.home] && group[unused.home] == group[i]) {
                    nodes[unused.home]->bank.give_back(unused.account, unused.tokens);
                }
            }
            nodes[i]->bank.on_tick();
        }
    }

    std::mt19937_64 random_{20261207};
    std::vector<answer> answers_;
    std::size_t steps_ = 0;
};

/// Rate of a node, in requests per second, after some time.
using demand = std::function<double(std::size_t node, double seconds)>;

struct load_case {
    std::string name;
    std::size_t nodes;
    account_quota quota;
    demand rate_of;
    double min_share;  ///< 0.97 for demand within the quota.
};

const std::vector<load_case> load_cases{
    {"one node takes all", 300, {86, 86}, [](std::size_t i, double) { return i == 7 ? 84 : 0.0; }, 0.97},
    {"70 nodes with a request in ten seconds each",
     70,
     {7, 7},
     [](std::size_t, double) { return 0.1; },
     0.97},
    {"even demand at the limit", 300, {86, 86}, [](std::size_t, double) { return 84 / 300.0; }, 0.97},
    {"skewed demand",
     100,
     {200, 200},
     [](std::size_t i, double) { return 38.0 / static_cast<double>(i + 1); },
     0.97},
    {"demand that moves to another zone each second",
     75,
     {86, 86},
     [](std::size_t i, double t) { return i % 3 == static_cast<std::size_t>(t) % 3 ? 80 / 25.0 : 0.0; },
     0.97},
    {"demand that moves to another node each second",
     75,
     {86, 86},
     [](std::size_t i, double t) { return i == static_cast<std::size_t>(t) % 75 ? 80.0 : 0.0; },
     0.97},
    {"small quota", 75, {2, 10}, [](std::size_t, double) { return 1.5 / 75; }, 0.97},
    {"spikes of eight times the usual rate",
     75,
     {86, 86},
     [](std::size_t i, double t) { return (t > 5 && t < 13 ? 8 : 1) * 54.0 / (i < 25 ? 50 : 100); },
     0.9},
    {"bursts after pauses at one node",
     75,
     {86, 430},
     [](std::size_t i, double t) { return i == 3 && static_cast<int>(t) % 7 > 4 ? 1000.0 : 0.0; },
     0.9},
};

constexpr account_quota fault_quota{86, 172};
constexpr std::size_t fault_nodes = 60;

/// Runs the fleet under the load of the test for some time.
using runner = std::function<void(milliseconds)>;

/// Lets all nodes detect the current groups, one after the other.
void detect(fleet& all, const runner& run, milliseconds total) {
    all.seen_group = all.group;
    for (std::size_t i = 0; i < all.nodes.size(); ++i) {
        all.publish_view(i);
        run(total / all.nodes.size());
    }
}

struct fault_case {
    std::string name;
    std::function<void(fleet&, const runner&)> fault;
};

const std::vector<fault_case> fault_cases{
    {"home dies",
     [](fleet& all, const runner& run) {
         all.nodes[all.home()].reset();
         run(3s);
         detect(all, run, 2s);
     }},
    {"home restarts unnoticed",
     [](fleet& all, const runner& run) {
         const std::size_t home = all.home();
         all.restart(home);
         run(100ms);
         all.publish_view(home);
     }},
    {"home leaves and returns, views differ for 5 s",
     [](fleet& all, const runner& run) {
         const std::size_t home = all.home();
         all.nodes[home].reset();
         detect(all, run, 500ms);
         run(10s);
         all.restart(home);
         detect(all, run, 5s);
     }},
    {"partition into halves, detected and healed at different times",
     [](fleet& all, const runner& run) {
         for (std::size_t i = 0; i < fault_nodes; ++i) {
             all.group[i] = i % 2 == 0 ? 1 : 2;
         }
         run(3s);
         detect(all, run, 900ms);
         run(15s);
         std::fill(all.group.begin(), all.group.end(), 0);
         run(500ms);
         detect(all, run, 900ms);
     }},
    {"restart of all, who know only themselves for up to 1.8 s",
     [](fleet& all, const runner& run) {
         for (std::size_t i = 0; i < fault_nodes; ++i) {
             all.restart(i);
         }
         detect(all, run, 1'800ms);
     }},
};

struct fault_load {
    std::string name;
    double part_of_quota;
    bool paused;  ///< Eight seconds of load after pauses of four.
    double min_share;
};

const std::vector<fault_load> fault_loads{{"within the quota", 0.6, false, 0.97},
                                          {"eight times the quota", 8, false, 0.97},
                                          {"bursts", 8, true, 0.97}};

runner runner_of(fleet& all, const fault_load& traffic) {
    return [&all, &traffic](milliseconds duration) {
        all.run(duration, [&](std::size_t) {
            const auto t =
                std::chrono::duration_cast<std::chrono::seconds>(all.clock.now().time_since_epoch());
            const bool pause = traffic.paused && t.count() % 12 < 4;
            return pause ? 0 : traffic.part_of_quota * fault_quota.requests_per_s / fault_nodes;
        });
    };
}

}  // namespace

BOOST_AUTO_TEST_SUITE(quota_fleet)

// Guards against admitting more than the quota in any window, and against refusing what lies within it.
BOOST_DATA_TEST_CASE(load, boost::unit_test::data::make(load_cases), row) {
    fleet all(row.nodes, row.quota);
    const steady_time start = all.clock.now();
    all.run(20s, [&](std::size_t i) {
        return row.rate_of(i, std::chrono::duration<double>(all.clock.now() - start).count());
    });
    BOOST_TEST_MESSAGE(row.name << ": excess " << all.worst_excess() << ", share " << all.admitted_share()
                                << ", asks " << all.asks << " of " << all.offered.size() << " requests");
    BOOST_TEST(all.worst_excess() <= 0);
    BOOST_TEST(all.admitted_share() >= row.min_share);
}

// Guards against homes that together grant more than the quota after a failure, and against homes that do not
// grant it any more once the fleet has recovered.
BOOST_DATA_TEST_CASE(fault,
                     boost::unit_test::data::make(fault_cases) * boost::unit_test::data::make(fault_loads),
                     row, traffic) {
    fleet all(fault_nodes, fault_quota);
    const runner run = runner_of(all, traffic);
    run(6'700ms);  // A fault occurs 0.7 s after the start of a burst.
    row.fault(all, run);
    run(12s);
    const double share = all.admitted_share();
    const double excess = all.worst_excess();
    all.clear_record();
    run(12s);
    BOOST_TEST_MESSAGE(row.name << ", " << traffic.name << ": excess " << excess << ", share " << share
                                << ", later " << all.admitted_share());
    BOOST_TEST(excess <= 0);
    BOOST_TEST(all.admitted_share() >= traffic.min_share);
}

// Guards against a bucket or tokens that keep the old limit for longer than one window.
BOOST_AUTO_TEST_CASE(lowered_limit) {
    fleet all(fault_nodes, {400, 800});
    const auto demand_of_all = [](std::size_t) { return 500.0 / fault_nodes; };
    all.run(5s, demand_of_all);
    all.quota = {40, 40};
    all.run(5s, demand_of_all);
    all.clear_record();
    all.run(10s, demand_of_all);
    BOOST_TEST_MESSAGE("lowered limit: excess " << all.worst_excess() << ", share " << all.admitted_share());
    BOOST_TEST(all.worst_excess() <= 0);
    BOOST_TEST(all.admitted_share() >= 0.97);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
