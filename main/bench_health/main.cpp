#include <absl/strings/str_format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <iostream>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include "main/bench_health/fleet.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

struct bench_options {
    std::uint64_t seeds = 20;
    std::uint64_t first_seed = 1;
    std::uint64_t requests = 1'000'000;
    std::string only{};
    std::size_t threads = 3;
    bool spread = false;
    bool verbose = false;
};

struct policy_case {
    detection_policy policy;
    std::uint32_t slots;
    double worst_goal_s;
    double median_goal_s;  ///< 0 when the design page sets no goal for the median.
};

const std::vector<policy_case> policies{{detection_policy::fast, 7, 1.0, 0.5},
                                        {detection_policy::cautious, 4, 3.0, 0.0}};

// Totals of one scenario over all seeds.
struct scenario_sum {
    std::vector<double> detections_s{};
    std::uint64_t undetected = 0;
    fleet_result total{};
    std::vector<std::string> notes{};
};

fleet_options make_fleet_options(const policy_case& item, fault_kind fault, const bench_options& bench) {
    return {.slots = item.slots,
            .policy = item.policy,
            .fault = fault,
            .prefer_local_zone = !bench.spread,
            .seed = bench.first_seed};
}

// The runs share no state, so that the results do not depend on the number of threads.
std::vector<fleet_result> run_all(const fleet_options& options, std::uint64_t seeds,
                                  std::chrono::seconds time, std::size_t threads) {
    std::vector<fleet_result> results(seeds);
    std::atomic<std::uint64_t> next{0};
    std::vector<std::jthread> workers;
    workers.reserve(threads);
    for (std::size_t i = 0; i < threads; ++i) {
        workers.emplace_back([&] {
            for (std::uint64_t run = next++; run < seeds; run = next++) {
                fleet_options own = options;
                own.seed = options.seed + run;
                results[run] = fleet(own).run(time);
            }
        });
    }
    workers.clear();
    return results;
}

scenario_sum run_seeds(const fleet_options& options, std::uint64_t seeds, std::chrono::seconds time,
                       std::size_t threads) {
    scenario_sum sum;
    for (const fleet_result& result : run_all(options, seeds, time, threads)) {
        if (result.detection) {
            sum.detections_s.push_back(std::chrono::duration<double>(*result.detection).count());
        } else {
            ++sum.undetected;
        }
        sum.total.requests += result.requests;
        sum.total.good_after_fault += result.good_after_fault;
        sum.total.bad_after_fault += result.bad_after_fault;
        sum.total.false_ejections += result.false_ejections;
        sum.total.ejections += result.ejections;
        sum.total.quarantined += result.quarantined;
        sum.notes.insert(sum.notes.end(), result.notes.begin(), result.notes.end());
    }
    std::sort(sum.detections_s.begin(), sum.detections_s.end());
    return sum;
}

double bad_percent(const fleet_result& result) {
    const auto all = static_cast<double>(result.good_after_fault + result.bad_after_fault);
    return all > 0 ? 100.0 * static_cast<double>(result.bad_after_fault) / all : 0.0;
}

void print_notes(const scenario_sum& sum, const bench_options& bench) {
    for (std::size_t i = 0; bench.verbose && i < std::min<std::size_t>(sum.notes.size(), 10); ++i) {
        std::cout << "    " << sum.notes[i] << '\n';
    }
}

bool selected(const bench_options& bench, std::string_view name) {
    return bench.only.empty() || name.find(bench.only) != std::string_view::npos;
}

bool print_detections(const bench_options& bench) {
    bool met = true;
    std::cout << absl::StrFormat("%-9s %-20s %9s %9s %6s %6s %10s %10s\n", "policy", "fault", "median s",
                                 "worst s", "missed", "false", "bad %", "baseline %");
    for (const policy_case& item : policies) {
        for (const fault_kind fault : single_target_fault_kinds()) {
            if (!selected(bench, to_string(fault))) {
                continue;
            }
            fleet_options options = make_fleet_options(item, fault, bench);
            const scenario_sum sum = run_seeds(options, bench.seeds, 30s, bench.threads);
            options.baseline = true;
            const scenario_sum baseline =
                run_seeds(options, std::min<std::uint64_t>(bench.seeds, 3), 30s, bench.threads);
            const bool any = !sum.detections_s.empty();
            const double median = any ? sum.detections_s[sum.detections_s.size() / 2] : -1;
            const double worst = any ? sum.detections_s.back() : -1;
            const bool goal = sum.undetected == 0 && worst <= item.worst_goal_s &&
                              (item.median_goal_s <= 0 || median <= item.median_goal_s) &&
                              sum.total.false_ejections == 0;
            met = met && goal;
            std::cout << absl::StrFormat(
                "%-9s %-20s %9.3f %9.3f %6u %6u %10.3f %10.3f  %s\n", std::string(to_string(item.policy)),
                std::string(to_string(fault)), median, worst, sum.undetected, sum.total.false_ejections,
                bad_percent(sum.total), bad_percent(baseline.total), goal ? "met" : "MISSED");
            print_notes(sum, bench);
        }
    }
    return met;
}

bool print_general(const bench_options& bench) {
    bool met = true;
    std::cout << absl::StrFormat("%-9s %-20s %9s %9s %6s %11s %10s %10s\n", "policy", "condition", "requests",
                                 "ejections", "false", "quarantined", "bad %", "baseline %");
    for (const policy_case& item : policies) {
        std::vector<fault_kind> conditions{fault_kind::none};
        conditions.insert(conditions.end(), fleet_condition_kinds().begin(), fleet_condition_kinds().end());
        for (const fault_kind fault : conditions) {
            if (!selected(bench, to_string(fault))) {
                continue;
            }
            fleet_options options = make_fleet_options(item, fault, bench);
            const bool long_run = fault == fault_kind::none;
            const double rate = options.requests_per_s * static_cast<double>(options.targets);
            const std::chrono::seconds time(
                long_run ? static_cast<std::int64_t>(1.01 * static_cast<double>(bench.requests) / rate) + 1
                         : 30);
            const scenario_sum sum = run_seeds(options, long_run ? 1 : bench.seeds, time, bench.threads);
            options.baseline = true;
            const scenario_sum baseline = run_seeds(options, 1, 30s, bench.threads);
            const bool goal = sum.total.false_ejections == 0;
            met = met && goal;
            std::cout << absl::StrFormat("%-9s %-20s %9u %9u %6u %11u %10.3f %10.3f  %s\n",
                                         std::string(to_string(item.policy)), std::string(to_string(fault)),
                                         sum.total.requests, sum.total.ejections, sum.total.false_ejections,
                                         sum.total.quarantined, bad_percent(sum.total),
                                         bad_percent(baseline.total), goal ? "met" : "MISSED");
            print_notes(sum, bench);
        }
    }
    return met;
}

}  // namespace
}  // namespace teaselpitch

int main(int argc, char** argv) {
    teaselpitch::bench_options bench;
    CLI::App app{"Measures detection times and false ejections of the outlier detection on a manual clock."};
    app.add_option("--seeds", bench.seeds, "Number of runs for each fault; each run has its own seed.")
        ->capture_default_str();
    app.add_option("--first-seed", bench.first_seed, "Seed of the first run.")->capture_default_str();
    app.add_option("--requests", bench.requests, "Number of requests in the run without a fault.")
        ->capture_default_str();
    app.add_option("--threads", bench.threads, "Number of concurrent runs.")->capture_default_str();
    app.add_option("--only", bench.only, "Runs only scenarios whose name contains this text.");
    app.add_flag("--spread", bench.spread,
                 "Spreads the work of each node over all zones instead of preferring its own zone.");
    app.add_flag("--verbose", bench.verbose, "Prints the reasons for false ejections.");
    CLI11_PARSE(app, argc, argv);
    const bool detections = teaselpitch::print_detections(bench);
    const bool general = teaselpitch::print_general(bench);
    std::cout << (detections && general ? "all goals met\n" : "goals missed\n");
    return detections && general ? 0 : 1;
}
