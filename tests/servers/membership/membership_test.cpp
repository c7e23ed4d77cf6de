#include "servers/membership/membership.h"

#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <tuple>

#include "tests/servers/membership/simulated_network.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(membership_nodes)

using namespace std::chrono_literals;

const std::vector<std::tuple<std::size_t, std::uint64_t>> sizes{{3, 1}, {10, 2}, {50, 3}, {200, 4}, {200, 5}};

// Guards against nodes that do not discover each other through one seed, and deaths that are detected after
// more than 5 s.
BOOST_DATA_TEST_CASE(join_and_death, boost::unit_test::data::make(sizes), count, seed) {
    simulated_network network(count, 3, seed);
    BOOST_TEST((network.run_until([&] { return network.all_alive(); }, 30s) <= 30s));
    network.run(5s);
    BOOST_TEST(network.deaths() == 0U);
    network.nodes[count / 2]->up = false;
    const auto took =
        network.run_until([&] { return network.all_nodes_see(node_state::dead, count / 2); }, 10s);
    BOOST_TEST(took.count() <= 5000);
    BOOST_TEST(network.deaths() == count - 1);
}

// Guards against a zone failure whose nodes are detected one after the other, because the adjacent nodes on
// the ring, which probe them, have failed as well.
BOOST_AUTO_TEST_CASE(failed_zone_is_detected_at_once) {
    simulated_network network(60, 3, 6);
    network.run_until([&] { return network.all_alive(); }, 30s);
    for (std::size_t i = 1; i < 60; i += 3) {
        network.nodes[i]->up = false;
    }
    const auto all_dead = [&] {
        for (std::size_t i = 1; i < 60; i += 3) {
            if (!network.all_nodes_see(node_state::dead, i)) {
                return false;
            }
        }
        return true;
    };
    BOOST_TEST(network.run_until(all_dead, 10s).count() <= 5000);
    BOOST_TEST(network.deaths() == 20U * 40U);
}

// Guards against alive nodes that are declared dead because of lost datagrams.
BOOST_AUTO_TEST_CASE(no_false_death_under_loss) {
    simulated_network network(50, 3, 7);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.loss = 0.05;
    network.run(120s);
    BOOST_TEST(network.deaths() == 0U);
}

// Guards against a one-way partition between zones that causes nodes to be declared dead.
BOOST_AUTO_TEST_CASE(no_false_death_in_a_one_way_partition) {
    simulated_network network(24, 3, 8);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.is_cut = [](std::size_t from, std::size_t to) { return from % 3 == 0 && to % 3 == 1; };
    network.run(120s);
    BOOST_TEST(network.deaths() == 0U);
    // Node 0 cannot reach node 1, but a node of the third zone can relay a request.
    membership& cut_off = *network.nodes[0]->members;
    network.send_output(0, cut_off.on_direct_result("n1", false));
    network.run(1s);
    BOOST_TEST(!cut_off.is_directly_reachable("n1"));
    BOOST_TEST(cut_off.is_directly_reachable("n2"));
    const auto detours = cut_off.relay_candidates("n1");
    BOOST_REQUIRE(detours.size() == 3U);
    BOOST_TEST(cut_off.find(detours[0])->availability_zone != "z0");
    network.is_cut = nullptr;
    network.run(15s);
    BOOST_TEST(cut_off.is_directly_reachable("n1"));
}

// Guards against a paused node that is declared dead although it resumes before the suspicion ends.
BOOST_AUTO_TEST_CASE(paused_node_refutes_the_suspicion) {
    simulated_network network(20, 3, 9);
    network.run_until([&] { return network.all_alive(); }, 30s);
    bool paused = true;
    network.is_cut = [&](std::size_t from, std::size_t to) { return paused && (from == 4 || to == 4); };
    network.run_until([&] { return network.nodes[0]->members->find("n4")->state == node_state::suspect; },
                      5s);
    paused = false;
    const auto took = network.run_until([&] { return network.all_alive(); }, 10s);
    BOOST_TEST(took.count() <= 3000);
    BOOST_TEST(network.deaths() == 0U);
    BOOST_TEST(network.nodes[0]->members->find("n4")->refutation > 0U);
}

// Guards against outdated gossip that makes a dead node alive, and against a dead node that cannot rejoin.
BOOST_AUTO_TEST_CASE(dead_node_stays_dead_until_it_answers) {
    simulated_network network(10, 1, 10);
    network.run_until([&] { return network.all_alive(); }, 30s);
    const wire::NodeFact old = to_node_fact(*network.nodes[0]->members->find("n4"));
    bool away = true;
    network.is_cut = [&](std::size_t from, std::size_t to) { return away && (from == 4) != (to == 4); };
    network.run_until([&] { return network.nodes[0]->members->find("n4")->state == node_state::dead; }, 10s);
    network.nodes[0]->members->apply_synced_fact(old);
    BOOST_TEST((network.nodes[0]->members->find("n4")->state == node_state::dead));
    away = false;
    BOOST_TEST((network.run_until([&] { return network.all_alive(); }, 60s) <= 60s));
    BOOST_TEST(network.nodes[0]->members->find("n4")->refutation > old.refutation());
}

// Guards against a restarted process that stays dead because its previous incarnation was declared dead.
BOOST_AUTO_TEST_CASE(restarted_node_joins_with_a_new_incarnation) {
    simulated_network network(10, 1, 11);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.nodes[4]->up = false;
    network.run_until([&] { return network.all_nodes_see(node_state::dead, 4); }, 10s);
    network.start(4, 2000);
    BOOST_TEST((network.run_until([&] { return network.all_alive(); }, 15s) <= 15s));
    BOOST_TEST(network.nodes[1]->members->find("n4")->identity.incarnation == 2000U);
}

// Guards against regions that do not merge again after a partition of an hour.
BOOST_AUTO_TEST_CASE(split_regions_reunite) {
    simulated_network network(16, 2, 12);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.is_cut = [](std::size_t from, std::size_t to) { return from % 2 != to % 2; };
    network.run(10s);
    BOOST_TEST(network.deaths() == 2U * 8U * 8U);
    network.run(3600s, 50ms);
    network.is_cut = nullptr;
    BOOST_TEST((network.run_until([&] { return network.all_alive(); }, 120s) <= 120s));
}

// Guards against a planned stop that is detected only by probes.
BOOST_AUTO_TEST_CASE(leave_is_gossiped) {
    simulated_network network(100, 3, 13);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.send_output(5, network.nodes[5]->members->leave());
    const auto took = network.run_until([&] { return network.all_nodes_see(node_state::left, 5); }, 5s);
    BOOST_TEST(took.count() <= 2000);
    BOOST_TEST(network.deaths() == 0U);
}

// Guards against a draining node that still receives new work because its peers are not notified.
BOOST_AUTO_TEST_CASE(draining_is_gossiped) {
    simulated_network network(100, 3, 16);
    network.run_until([&] { return network.all_alive(); }, 30s);
    network.nodes[5]->members->set_draining(true);
    const auto all_notified = [&] {
        return std::all_of(network.nodes.begin(), network.nodes.end(),
                           [&](const auto& node) { return node == network.nodes[5] || node->drains > 0; });
    };
    BOOST_TEST(network.run_until(all_notified, 5s).count() <= 2000);
    BOOST_TEST(network.all_nodes_see(node_state::alive, 5));
}

// Guards against nodes that never receive the version reports of others; publish --wait depends on these.
BOOST_AUTO_TEST_CASE(table_versions_reach_every_node) {
    simulated_network network(60, 3, 14);
    network.run_until([&] { return network.all_alive(); }, 30s);
    for (std::uint64_t version = 1; version <= 3; ++version) {
        for (std::size_t i = 0; i < 60; ++i) {
            if (i != 17 || version < 3) {
                network.nodes[i]->members->set_table_version(version);
            }
        }
        const auto complete = [&] {
            for (const auto& node : network.nodes) {
                const auto below = node->members->nodes_below_version(version);
                if (below != (version < 3 ? std::vector<std::string>{} : std::vector<std::string>{"n17"})) {
                    return false;
                }
            }
            return true;
        };
        BOOST_TEST((network.run_until(complete, 10s) <= 10s));
    }
}

// Guards against random bytes in a datagram that terminate the process or change the members.
BOOST_AUTO_TEST_CASE(garbage_datagrams_are_ignored) {
    simulated_network network(3, 1, 15);
    network.run_until([&] { return network.all_alive(); }, 30s);
    std::mt19937_64 random(15);
    for (int i = 0; i < 2000; ++i) {
        std::string bytes(random() % 200, '\0');
        for (char& byte : bytes) {
            byte = static_cast<char>(random());
        }
        (void)network.nodes[0]->members->on_datagram({"10.0.0.1", 9}, std::as_bytes(std::span(bytes)));
    }
    network.run(5s);
    BOOST_TEST(network.all_alive());
    BOOST_TEST(network.nodes[0]->members->running().size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
