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

// Goals for one node at 3,200 nodes.
constexpr double goal_cpu_us = 14'000;
constexpr double goal_bytes = 12'000;
constexpr double goal_resident = 64'000'000;

struct bench_options {
    std::vector<std::size_t> sizes{100, 200, 400, 800, 1600, 3200};
    unsigned seconds = 600;
    fleet_options fleet;
};

/// Bytes that the process holds from the allocator.
std::size_t heap_bytes() {
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

/// Measures one size; returns whether it meets the goals.
bool measure(const bench_options& options, std::size_t nodes) {
    manual_time_source clock;
    fleet_options fleet = options.fleet;
    fleet.nodes = nodes;
    fleet_model model(clock, fleet);
    const std::size_t before = heap_bytes();
    measured_node node(clock, {"node-0", 1'700'000'000'000'000}, fleet.seed);
    model.fill(node);
    const std::size_t state = heap_bytes() - before;
    // Returns the pages of the size before, so that the resident bytes are those of one node.
    malloc_trim(0);
    const std::size_t resident = resident_bytes();
    measured_node partner(clock, {"node-partner", 1'700'000'000'000'000}, fleet.seed + 1);
    model.fill(partner);
    // A minute fills the queues before the cost counts.
    model.run(node, partner, std::chrono::seconds(60));
    node.reset_cost();
    model.run(node, partner, std::chrono::seconds(options.seconds));
    const double seconds = options.seconds;
    const double cpu = static_cast<double>(node.cpu_ns()) / 1000 / seconds;
    const double gossip = static_cast<double>(node.datagram_bytes()) / seconds;
    const double sync = static_cast<double>(node.sync_bytes()) / seconds;
    std::printf("%6zu %8zu %12.0f %12.0f %12.0f %12.0f %12zu %14zu\n", nodes, node.targets().size(), gossip,
                sync, gossip + sync, cpu, state, resident);
    return cpu <= goal_cpu_us && gossip + sync <= goal_bytes &&
           static_cast<double>(resident) <= goal_resident;
}

}  // namespace
}  // namespace teaselpitch

int main(int argc, char** argv) {
    teaselpitch::bench_options options;
    CLI::App app{"Measures the control overhead of one node in a modelled fleet."};
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    app.add_option("--sizes", options.sizes, "Numbers of nodes")->check(CLI::Range(2, 3200));
    app.add_option("--seconds", options.seconds, "Modelled seconds per size")->check(CLI::Range(1, 86'400));
    app.add_option("--targets", options.fleet.targets_per_node, "Targets per node")
        ->check(CLI::Range(1, 100));
    app.add_option("--replaced", options.fleet.replaced_per_day, "Replaced instances per day at 3,200 nodes");
    app.add_option("--failed", options.fleet.failed_per_day, "Failed instances per day at 3,200 nodes");
    app.add_option("--versions", options.fleet.versions_per_day, "Table versions per day");
    app.add_option("--seed", options.fleet.seed, "Seed of the model");
    CLI11_PARSE(app, argc, argv);
    std::printf("%6s %8s %12s %12s %12s %12s %12s %14s\n", "nodes", "targets", "gossip_B/s", "sync_B/s",
                "total_B/s", "cpu_us/s", "heap_bytes", "resident_bytes");
    bool met = true;
    for (const std::size_t nodes : options.sizes) {
        met = teaselpitch::measure(options, nodes) && met;
    }
    std::printf("goals: 12000 B/s, 14000 us/s, 64000000 bytes: %s\n", met ? "met" : "missed");
    return met ? 0 : 1;
}
