#include <CLI/CLI.hpp>
#include <cstdint>

#include "main/bench_claims/benches.h"

int main(int argc, char** argv) {
    using namespace teaselpitch;
    CLI::App app{"Measures admission control and at-most-once execution."};
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    app.require_subcommand(1);
    double load = 2;
    std::uint32_t nodes = 3'200;
    std::uint64_t seed = 1;
    app.add_option("--seed", seed, "Seed of the simulations")->capture_default_str();
    app.add_subcommand("ledger", "Cost of a keyed request")->callback([] { bench::run_ledger(); });
    app.add_subcommand("admission", "Throughput of the queue")->callback([] { bench::run_admission(); });
    CLI::App* goodput = app.add_subcommand("goodput", "Goodput under overload, on a manual clock");
    goodput->add_option("--load", load, "Multiple of the capacity")->capture_default_str();
    goodput->callback([&] { bench::run_goodput(load, seed); });
    CLI::App* limiter = app.add_subcommand("limiter", "Error of the account limiter, on a manual clock");
    limiter->add_option("--nodes", nodes, "Simulated nodes")->capture_default_str();
    limiter->callback([&] { bench::run_limiter(nodes, seed); });
    app.add_subcommand("outages", "Refusals by failure, on a manual clock")->callback([] {
        bench::run_outages();
    });
    CLI11_PARSE(app, argc, argv);
    return 0;
}
