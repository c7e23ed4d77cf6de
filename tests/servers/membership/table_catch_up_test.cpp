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
            catch_up_.push_back(std::make_unique<table_catch_up>(network.clock, std::mt19937_64(random_()),
                                                                 table_catch_up_options{}));
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
            if (const auto peer =
                    catch_up_[i]->on_tick(*network.nodes[i]->members, !turned_away.contains(i))) {
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
    std::uint64_t versions;  ///< Number of versions that are published.
};

std::ostream& operator<<(std::ostream& out, const publication_case& value) {
    return out << value.name;
}

const std::vector<publication_case> publication_cases{
    {"a third is turned away", 24, 3, 0.35, 0, 0, 10},
    {"half is turned away", 30, 3, 0.5, 0, 0, 10},
    {"all but two are turned away", 30, 3, 0.94, 0, 0, 10},
    {"a third is turned away, others are cut off", 30, 3, 0.35, 0.3, 0, 10},
    {"half is turned away, others are cut off, datagrams are lost", 88, 4, 0.45, 0.3, 0.03, 5},
    {"a third of a large fleet is turned away", 352, 5, 0.35, 0, 0, 2},
};

wire::NodeFact with_version(std::uint16_t port, std::uint64_t version,
                            wire::NodeFact::State state = wire::NodeFact::ALIVE) {
    wire::NodeFact fact;
    fact.set_name("n" + std::to_string(port));
    fact.set_incarnation(1);
    fact.set_state(state);
    fact.set_address("10.0.0.1");
    fact.set_gossip_port(port);
    fact.set_peer_port(port);
    fact.set_availability_zone("z" + std::to_string(port % 2));
    fact.set_table_version(version);
    return fact;
}

struct call_case {
    const char* name;
    std::vector<wire::NodeFact> members;
    bool store_available;
    std::chrono::milliseconds duration;
    std::set<std::uint16_t> contacted_ports;  ///< Ports of the members that are called in this time.
};

std::ostream& operator<<(std::ostream& out, const call_case& value) {
    return out << value.name;
}

const std::vector<call_case> call_cases{
    {"no member has a later table", {with_version(1, 7), with_version(2, 3)}, true, 10s, {}},
    {"no members", {}, false, 10s, {}},
    {"one member", {with_version(1, 8), with_version(2, 7)}, false, 2s, {1}},
    {"each member with a later table",
     {with_version(1, 8), with_version(2, 9), with_version(3, 7), with_version(4, 8)},
     false,
     2s,
     {1, 2, 4}},
    {"suspect members are called, dead members are not",
     {with_version(1, 8, wire::NodeFact::DEAD), with_version(2, 8, wire::NodeFact::SUSPECT)},
     false,
     2s,
     {2}},
    {"the store may still answer", {with_version(1, 8)}, true, 200ms, {}},
    {"the store has not answered", {with_version(1, 8)}, true, 300ms, {1}},
    {"members of all zones while the store is away and no version is missing",
     {with_version(1, 7), with_version(2, 7), with_version(3, 7, wire::NodeFact::DEAD)},
     false,
     10s,
     {1, 2}},
};

// A version must be in force within 2 s. Nodes of a tenth of a core need the second half to decode it.
constexpr std::chrono::milliseconds spread_limit{1'000};

}  // namespace

BOOST_AUTO_TEST_SUITE(table_versions_without_the_store)

// Guards against a node that the store turns away and that learns of a version too late from other nodes.
BOOST_DATA_TEST_CASE(reach_all_nodes_in_time, boost::unit_test::data::make(publication_cases), row) {
    publishing_fleet fleet(row.nodes, row.zones, 31);
    for (std::uint64_t version = 2; version <= 1 + row.versions; ++version) {
        fleet.turned_away = fleet.draw(row.turned_away);
        fleet.cut_off = fleet.draw(row.cut_off, fleet.turned_away);
        fleet.network.loss = row.loss;
        fleet.network.is_cut = [&fleet](std::size_t from, std::size_t to) {
            return fleet.cut_off.contains(from) || fleet.cut_off.contains(to);
        };
        fleet.run_until([] { return false; }, 300ms + 97ms * version);
        fleet.publish(version);
        const auto took = fleet.run_until([&] { return fleet.all_serve(version); }, 10s);
        BOOST_TEST(took.count() <= spread_limit.count(),
                   "version " << version << ": " << took.count() << " ms");
        fleet.turned_away.clear();
        fleet.cut_off.clear();
        fleet.network.loss = 0;
        fleet.publish(version);
        fleet.run_until([] { return false; }, 5s);
    }
}

// Guards against a node that calls the same unreachable member again and again, calls dead members, or calls
// any while the store is about to answer.
BOOST_DATA_TEST_CASE(calls_go_to_each_member_that_can_help, boost::unit_test::data::make(call_cases), row) {
    manual_time_source clock;
    membership members(clock, std::mt19937_64(1),
                       {{"self", 1}, "z0", {"10.0.0.1", 100}, {"10.0.0.1", 100}, 0}, {}, {}, {});
    for (const wire::NodeFact& fact : row.members) {
        members.apply_synced_fact(fact);
    }
    (void)members.set_table_version(7);
    table_catch_up catch_up(clock, std::mt19937_64(1), {});
    std::set<std::uint16_t> contacted_ports;
    const steady_time end = clock.now() + row.duration;
    while (clock.now() < end) {
        if (const auto peer = catch_up.on_tick(members, row.store_available)) {
            contacted_ports.insert(peer->port);
            catch_up.on_call_ended();
        }
        clock.advance(50ms);
    }
    BOOST_TEST(contacted_ports == row.contacted_ports, boost::test_tools::per_element());
}

// Guards against members that answer late and hold up all further calls, and against calls without a limit.
BOOST_AUTO_TEST_CASE(unanswered_calls_are_limited) {
    manual_time_source clock;
    membership members(clock, std::mt19937_64(1),
                       {{"self", 1}, "z0", {"10.0.0.1", 100}, {"10.0.0.1", 100}, 0}, {}, {}, {});
    for (std::uint16_t port = 1; port <= 9; ++port) {
        members.apply_synced_fact(with_version(port, 8));
    }
    table_catch_up catch_up(clock, std::mt19937_64(1), {});
    std::set<std::uint16_t> contacted_ports;
    for (int tick = 0; tick < 40; ++tick) {
        if (const auto peer = catch_up.on_tick(members, false)) {
            BOOST_TEST(contacted_ports.insert(peer->port).second);
        }
        clock.advance(50ms);
    }
    BOOST_TEST(contacted_ports.size() == 3U);
    catch_up.on_call_ended();
    BOOST_TEST(catch_up.on_tick(members, false).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
