#include <malloc.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <string>
#include <vector>

#include "main/bench_control/fleet_model.h"
#include "main/bench_control/measured_node.h"

namespace teaselpitch {
namespace {

// Limits for the control overhead of one node in a fleet of 3,200 nodes.
constexpr double goal_cpu_us_per_s = 14'000;
constexpr double goal_traffic_bytes_per_s = 12'000;
constexpr double goal_resident_bytes = 64'000'000;

struct bench_options {
    std::vector<std::size_t> sizes{100, 200, 400, 800, 1600, 3200};
    unsigned seconds = 600;
    fleet_options fleet;
};

/// Returns the number of bytes that the process has allocated from the heap.
std::size_t allocated_heap_bytes() {
    const struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

std::size_t resident_bytes() {
    std::ifstream file("/proc/self/statm");
    std::size_t total = 0;
    std::size_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

/// Measures and prints the overhead at one fleet size; returns whether it meets the goals.
bool measure(const bench_options& options, std::size_t nodes) {
    manual_time_source clock;
    fleet_options fleet = options.fleet;
    fleet.nodes = nodes;
    fleet_model model(clock, fleet);
    const std::size_t before = allocated_heap_bytes();
    measured_node node(clock, {"node-0", 1'700'000'000'000'000}, fleet.seed);
    model.apply_fleet_state(node);
    const std::size_t state = allocated_heap_bytes() - before;
    // Returns freed pages of the previous fleet size to the system, so that the resident size covers one node
    // only.
    malloc_trim(0);
    const std::size_t resident = resident_bytes();
    measured_node partner(clock, {"node-partner", 1'700'000'000'000'000}, fleet.seed + 1);
    model.apply_fleet_state(partner);
    // Runs one minute without counting, so that the queues reach their steady state.
    model.run(node, partner, std::chrono::seconds(60));
    node.reset_cost();
    model.run(node, partner, std::chrono::seconds(options.seconds));
    const double seconds = options.seconds;
    const double cpu_us_per_s = static_cast<double>(node.cpu_ns()) / 1000 / seconds;
    const double gossip = static_cast<double>(node.datagram_bytes()) / seconds;
    const double sync = static_cast<double>(node.sync_bytes()) / seconds;
    std::printf("%6zu %8zu %12.0f %12.0f %12.0f %12.0f %12zu %14zu\n", nodes, node.targets().size(), gossip,
                sync, gossip + sync, cpu_us_per_s, state, resident);
    return cpu_us_per_s <= goal_cpu_us_per_s && gossip + sync <= goal_traffic_bytes_per_s &&
           static_cast<double>(resident) <= goal_resident_bytes;
}

}  // namespace
}  // namespace teaselpitch

int main(int argc, char** argv) {
    teaselpitch::bench_options options;
    CLI::App app{"Measures the control overhead of one node in a simulated fleet."};
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    app.add_option("--sizes", options.sizes, "Fleet sizes in nodes")->check(CLI::Range(2, 3200));
    app.add_option("--seconds", options.seconds, "Simulated seconds for each fleet size")
        ->check(CLI::Range(1, 86'400));
    app.add_option("--targets", options.fleet.targets_per_node, "Targets per node")
        ->check(CLI::Range(1, 100));
    app.add_option("--replaced", options.fleet.replaced_per_day, "Replaced instances per day at 3,200 nodes");
    app.add_option("--failed", options.fleet.failed_per_day, "Failed instances per day at 3,200 nodes");
    app.add_option("--versions", options.fleet.versions_per_day, "New table versions per day");
    app.add_option("--seed", options.fleet.seed, "Seed of the simulation");
    CLI11_PARSE(app, argc, argv);
    std::printf("%6s %8s %12s %12s %12s %12s %12s %14s\n", "nodes", "targets", "gossip_B/s", "sync_B/s",
                "total_B/s", "cpu_us/s", "heap_bytes", "resident_bytes");
    bool goals_met = true;
    for (const std::size_t nodes : options.sizes) {
        goals_met = teaselpitch::measure(options, nodes) && goals_met;
    }
    std::printf("goals: 12000 B/s, 14000 us/s, 64000000 bytes: %s\n", goals_met ? "met" : "missed");
    return goals_met ? 0 : 1;
}
