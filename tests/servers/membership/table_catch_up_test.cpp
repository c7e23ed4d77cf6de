#include "servers/membership/table_catch_up.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <map>
#include <ostream>
#include <set>

#include "tests/servers/membership/simulated_network.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

/// A fleet in which some nodes receive a new table version from the store and the others fetch it from them.
class publishing_fleet {
public:
    static constexpr std::chrono::milliseconds tick_interval{200};
    static constexpr std::chrono::milliseconds call_timeout{700};

    publishing_fleet(std::size_t count, std::size_t zones, std::uint64_t seed)
        : network(count, zones, seed), random_(seed) {
        for (std::size_t i = 0; i < count; ++i) {
            catch_up_.push_back(std::make_unique<table_catch_up>(network.clock, table_catch_up_options{}));
            next_tick_.push_back(network.clock.now() + std::chrono::milliseconds(random_() % 200));
        }
        network.run_until([&] { return network.all_alive(); }, 30s);
        publish(1);
        run_until([&] { return all_serve(1); }, 30s);
        network.run(5s);
    }

    /// Draws different nodes that are not in `except`.
    std::set<std::size_t> draw(double share, const std::set<std::size_t>& except = {}) {
        std::set<std::size_t> result;
        const auto wanted = static_cast<std::size_t>(share * static_cast<double>(network.nodes.size()));
        while (result.size() < wanted) {
            const std::size_t i = random_() % network.nodes.size();
            if (!except.contains(i)) {
                result.insert(i);
            }
        }
        return result;
    }

    /// All nodes that are neither turned away nor cut off receive the version from the store.
    void publish(std::uint64_t version) {
        for (std::size_t i = 0; i < network.nodes.size(); ++i) {
            if (!turned_away.contains(i) && !cut_off.contains(i)) {
                serve(i, version);
            }
        }
    }

    bool all_serve(std::uint64_t version) {
        for (std::size_t i = 0; i < network.nodes.size(); ++i) {
            if (!cut_off.contains(i) && version_of(i) < version) {
                return false;
            }
        }
        return true;
    }

    std::chrono::milliseconds run_until(const std::function<bool()>& condition,
                                        std::chrono::milliseconds limit) {
        const steady_time begin = network.clock.now();
        while (!condition() && network.clock.now() - begin <= limit) {
            network.run(5ms);
            end_calls();
            start_calls();
        }
        return std::chrono::duration_cast<std::chrono::milliseconds>(network.clock.now() - begin);
    }

    simulated_network network;
    std::set<std::size_t> turned_away;  ///< Nodes that the store does not serve.
    std::set<std::size_t> cut_off;      ///< Nodes that no other node reaches.

private:
    struct call {
        std::size_t from;
        std::size_t to;
        bool answered;
    };

    [[nodiscard]] std::uint64_t version_of(std::size_t i) const {
        return network.nodes[i]->members->self().table_version;
    }

    void serve(std::size_t i, std::uint64_t version) {
        network.send_output(i, network.nodes[i]->members->set_table_version(version));
    }

    void start_calls() {
        for (std::size_t i = 0; i < network.nodes.size(); ++i) {
            if (network.clock.now() < next_tick_[i]) {
                continue;
            }
            next_tick_[i] = network.clock.now() + tick_interval;
            if (const auto peer = catch_up_[i]->on_tick(*network.nodes[i]->members)) {
                const std::size_t to = peer->port - 1U;
                const bool answered = network.can_deliver(i, to) && network.can_deliver(to, i);
                calls_.emplace(network.clock.now() + (answered ? 4 * simulated_network::delay : call_timeout),
                               call{i, to, answered});
            }
        }
    }

    void end_calls() {
        while (!calls_.empty() && calls_.begin()->first <= network.clock.now()) {
            const call ended = calls_.extract(calls_.begin()).mapped();
            if (ended.answered && version_of(ended.to) > version_of(ended.from)) {
                serve(ended.from, version_of(ended.to));
            }
            catch_up_[ended.from]->on_call_ended();
        }
    }

    std::mt19937_64 random_;
    std::vector<std::unique_ptr<table_catch_up>> catch_up_;
    std::vector<steady_time> next_tick_;
    std::multimap<steady_time, call> calls_;
};

struct publication_case {
    const char* name;
    std::size_t nodes;
    std::size_t zones;
    double turned_away;
    double cut_off;
    double loss;
};

std::ostream& operator<<(std::ostream& out, const publication_case& value) {
    return out << value.name;
}

const std::vector<publication_case> publication_cases{
    {"a third is turned away", 24, 3, 0.35, 0, 0},
    {"half is turned away", 30, 3, 0.5, 0, 0},
    {"all but two are turned away", 30, 3, 0.94, 0, 0},
    {"a third is turned away, others are cut off", 30, 3, 0.35, 0.3, 0},
    {"half is turned away, others are cut off, datagrams are lost", 88, 4, 0.45, 0.3, 0.03},
    {"a third of a large fleet is turned away", 352, 5, 0.35, 0, 0},
};

// A version must be in force within 2 s. Nodes of a tenth of a core need the second half to decode it.
constexpr std::chrono::milliseconds spread_limit{1'000};

}  // namespace

BOOST_AUTO_TEST_SUITE(table_versions_without_the_store)

// Guards against a node that the store turns away and that learns of a version too late from other nodes.
BOOST_DATA_TEST_CASE(reach_all_nodes_in_time, boost::unit_test::data::make(publication_cases), row) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        publishing_fleet fleet(row.nodes, row.zones, seed);
        fleet.turned_away = fleet.draw(row.turned_away);
        fleet.cut_off = fleet.draw(row.cut_off, fleet.turned_away);
        fleet.network.loss = row.loss;
        fleet.network.is_cut = [&fleet](std::size_t from, std::size_t to) {
            return fleet.cut_off.contains(from) || fleet.cut_off.contains(to);
        };
        fleet.run_until([] { return false; }, 300ms);
        fleet.publish(2);
        const auto took = fleet.run_until([&] { return fleet.all_serve(2); }, 10s);
        BOOST_TEST(took.count() <= spread_limit.count(), "seed " << seed << ": " << took.count() << " ms");
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
