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
    app.add_subcommand("ledger", "Measures time and memory of a keyed request")->callback([] {
        bench::run_ledger();
    });
    app.add_subcommand("admission", "Measures the throughput of the admission queue")->callback([] {
        bench::run_admission();
    });
    CLI::App* goodput =
        app.add_subcommand("goodput", "Measures the goodput under overload, on a manual clock");
    goodput->add_option("--load", load, "Offered load as a multiple of the capacity")->capture_default_str();
    goodput->callback([&] { bench::run_goodput(load, seed); });
    CLI::App* limiter =
        app.add_subcommand("limiter", "Measures the error of the account limiter, on a manual clock");
    limiter->add_option("--nodes", nodes, "Number of simulated nodes")->capture_default_str();
    limiter->callback([&] { bench::run_limiter(nodes, seed); });
    app.add_subcommand("outages", "Measures the refusals after each kind of failure, on a manual clock")
        ->callback([] { bench::run_outages(); });
    CLI11_PARSE(app, argc, argv);
    return 0;
}
