#include "servers/membership/zone_bridges.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <set>
#include <tuple>

#include "tests/servers/membership/simulated_network.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(zones_of_a_fleet)

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds settle_time{15'000};

wire::Fact target_fact(std::size_t node, wire::TargetFact::State state, std::uint64_t sequence) {
    wire::Fact fact;
    wire::TargetFact& target = *fact.mutable_target();
    target.set_name("t" + std::to_string(node));
    target.set_incarnation(1);
    target.set_sequence(sequence);
    target.set_service("s");
    target.set_node(simulated_network::node_name(node));
    target.set_node_incarnation(1000);
    target.set_state(state);
    target.set_slots(3);
    return fact;
}

void announce(simulated_network& network, std::size_t node, wire::TargetFact::State state,
              std::uint64_t sequence) {
    const wire::Fact fact = target_fact(node, state, sequence);
    network.nodes[node]->targets->apply(fact);
    network.send_output(node, network.nodes[node]->members->gossip(fact));
}

bool all_see(const simulated_network& network, std::size_t node, announced_state state) {
    return std::all_of(network.nodes.begin(), network.nodes.end(), [&](const auto& each) {
        const auto view = each->targets->find("t" + std::to_string(node));
        return !each->up || (view && view->state == state);
    });
}

// Returns the nodes that are bridges of their zone in the view of node 0.
std::set<std::size_t> bridges_seen_by_first_node(simulated_network& network) {
    zone_bridges view(membership_options{}.bridges_per_zone);
    const membership& members = *network.nodes[0]->members;
    view.update(members.self(), members.running());
    std::set<std::size_t> result;
    for (const remote_zone& zone : view.remote_zones()) {
        for (const member* bridge : zone.bridges) {
            result.insert(bridge->peer.port - 1U);
        }
    }
    return result;
}

const std::vector<std::tuple<std::size_t, std::size_t>> fleets{{27, 4}, {75, 4}, {352, 5}};

// Pattern: an idle fleet in several zones. Guards against control traffic between zones that grows with the
// number of nodes: at most 100 bytes a second and node, with 28 bytes of IP and UDP headers for each
// datagram.
BOOST_DATA_TEST_CASE(idle_fleet_sends_little_between_zones, boost::unit_test::data::make(fleets), count,
                     zones) {
    simulated_network network(count, zones, 21);
    BOOST_REQUIRE((network.run_until([&] { return network.all_alive(); }, 30s) <= 30s));
    network.run(settle_time);
    const std::size_t before = network.bytes_between_zones;
    network.run(20s);
    const double per_node =
        static_cast<double>(network.bytes_between_zones - before) / 20.0 / static_cast<double>(count);
    BOOST_TEST_MESSAGE(count << " nodes: " << per_node << " bytes a second and node");
    BOOST_TEST(per_node <= 100.0);
}

// Pattern: targets that join and leave all day. Guards against a fact that stays in its zone, or that waits
// for the next full exchange.
BOOST_DATA_TEST_CASE(facts_about_targets_reach_all_zones, boost::unit_test::data::make(fleets), count,
                     zones) {
    simulated_network network(count, zones, 22);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.run(settle_time);
    const std::size_t node = count / 2;
    announce(network, node, wire::TargetFact::READY, 1);
    const auto ready = network.run_until([&] { return all_see(network, node, announced_state::ready); }, 20s);
    BOOST_TEST(ready.count() <= 5000);
    announce(network, node, wire::TargetFact::LEAVING, 2);
    const auto leaving =
        network.run_until([&] { return all_see(network, node, announced_state::leaving); }, 20s);
    BOOST_TEST(leaving.count() <= 2000);
}

// Pattern: both bridges of a zone are killed, and a target of the zone leaves in the same moment. Guards
// against a zone that nobody speaks for until the deaths are detected.
BOOST_AUTO_TEST_CASE(a_leaving_target_is_announced_without_bridges) {
    simulated_network network(75, 4, 23);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.run(settle_time);
    const std::set<std::size_t> bridges = bridges_seen_by_first_node(network);
    std::size_t leaving_node = 1;
    while (bridges.count(leaving_node) > 0) {
        leaving_node += 4;
    }
    announce(network, leaving_node, wire::TargetFact::READY, 1);
    network.run_until([&] { return all_see(network, leaving_node, announced_state::ready); }, 20s);
    for (const std::size_t bridge : bridges) {
        network.nodes[bridge]->up = bridge % 4 != 1;
    }
    announce(network, leaving_node, wire::TargetFact::LEAVING, 2);
    const auto took =
        network.run_until([&] { return all_see(network, leaving_node, announced_state::leaving); }, 20s);
    BOOST_TEST(took.count() <= 2000);
}

// Pattern: both bridges of a zone are killed, and a target of the zone becomes ready before others take over.
// Guards against a fact that only the dead bridges would have passed on.
BOOST_AUTO_TEST_CASE(new_bridges_pass_on_what_the_dead_ones_missed) {
    simulated_network network(75, 4, 24);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.run(settle_time);
    const std::set<std::size_t> bridges = bridges_seen_by_first_node(network);
    std::size_t joining_node = 1;
    while (bridges.count(joining_node) > 0) {
        joining_node += 4;
    }
    for (const std::size_t bridge : bridges) {
        network.nodes[bridge]->up = bridge % 4 != 1;
    }
    announce(network, joining_node, wire::TargetFact::READY, 1);
    const auto took =
        network.run_until([&] { return all_see(network, joining_node, announced_state::ready); }, 30s);
    BOOST_TEST(took.count() <= 10'000);
}

// Pattern: a zone of 70 nodes goes dark. Guards against a detection that takes one node at a time, and
// against suspicions of each node that cross each border between zones.
BOOST_AUTO_TEST_CASE(loss_of_a_large_zone_is_noticed_at_once) {
    simulated_network network(350, 5, 25);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.run(settle_time);
    for (std::size_t i = 1; i < 350; i += 5) {
        network.nodes[i]->up = false;
    }
    const auto all_dead = [&] {
        for (std::size_t i = 1; i < 350; i += 5) {
            if (!network.all_nodes_see(node_state::dead, i)) {
                return false;
            }
        }
        return true;
    };
    BOOST_TEST(network.run_until(all_dead, 10s).count() <= 5000);
    BOOST_TEST(network.deaths() == 70U * 280U);
    for (std::size_t i = 1; i < 350; i += 5) {
        network.start(i, 2000);
    }
    BOOST_TEST(network.run_until([&] { return network.all_alive(); }, 30s).count() <= 15'000);
}

// Guards against bridges that nodes with the same view choose differently, and against a draining bridge.
BOOST_AUTO_TEST_CASE(all_nodes_choose_the_same_bridges) {
    simulated_network network(30, 3, 26);
    network.run_until([&] { return network.all_alive(); }, 30s);
    const auto bridge_names_of_zone_1 = [&](std::size_t viewer) {
        zone_bridges view(2);
        const membership& members = *network.nodes[viewer]->members;
        view.update(members.self(), members.running());
        for (const remote_zone& zone : view.remote_zones()) {
            if (zone.name == "z1") {
                return std::vector<std::string>{zone.bridges[0]->identity.name,
                                                zone.bridges[1]->identity.name};
            }
        }
        return std::vector<std::string>{};
    };
    const auto chosen = bridge_names_of_zone_1(0);
    BOOST_TEST(chosen == bridge_names_of_zone_1(2));
    BOOST_REQUIRE(chosen.size() == 2U);
    network.nodes[std::stoul(chosen[0].substr(1))]->members->set_draining(true);
    network.run(5s);
    const auto after = bridge_names_of_zone_1(0);
    BOOST_TEST(after.front() == chosen[1]);
    BOOST_TEST((std::find(after.begin(), after.end(), chosen[0]) == after.end()));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
