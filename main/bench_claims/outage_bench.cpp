#include <array>
#include <cstdio>
#include <functional>
#include <string>
#include <vector>

#include "main/bench_claims/benches.h"
#include "main/bench_claims/outage_fleet.h"

namespace teaselpitch::bench {
namespace {

using namespace std::chrono_literals;

constexpr auto step = 100ms;
constexpr auto measured_time = 900s;
constexpr auto outage = 600s;

struct failure_scenario {
    const char* name;
    std::function<void(outage_fleet&)> begin;
    std::chrono::seconds end_time{0};
    std::function<void(outage_fleet&)> end;
};

using counts = std::array<std::int64_t, static_cast<std::size_t>(step_result::count)>;

struct refusals {
    counts marked{};
    counts unmarked{};
    counts resent_key{};
};

void count(counts& to, step_result result) {
    ++to[static_cast<std::size_t>(result)];
}

refusals run(const failure_scenario& failure) {
    outage_fleet fleet;
    refusals total;
    failure.begin(fleet);
    for (std::chrono::milliseconds time{0}; time < measured_time; time += step) {
        if (failure.end && time == failure.end_time) {
            failure.end(fleet);
        }
        fleet.advance(step);
        count(total.marked, fleet.send_new_key(true));
        count(total.unmarked, fleet.send_new_key(false));
        count(total.resent_key, fleet.resend_used_key());
    }
    return total;
}

void print(const char* name, const char* sends, const counts& seen) {
    const auto seconds = [&seen](step_result result) {
        return static_cast<double>(seen[static_cast<std::size_t>(result)]) *
               std::chrono::duration<double>(step).count();
    };
    std::printf("%-42s %-16s %10.1f %10.1f %12.1f %12.1f\n", name, sends,
                seconds(step_result::peer_unreachable), seconds(step_result::no_answer),
                seconds(step_result::slot_moving), seconds(step_result::key_in_doubt));
}

std::vector<failure_scenario> failure_scenarios() {
    const auto kill = [](std::size_t role) {
        return [role](outage_fleet& fleet) { fleet.kill(fleet.node_with_role(role)); };
    };
    const auto log_down = [](outage_fleet& fleet) { fleet.set_log_reachable_for_all(false); };
    const auto log_up = [](outage_fleet& fleet) { fleet.set_log_reachable_for_all(true); };
    const auto drain = [](outage_fleet& fleet) { fleet.drain(fleet.node_with_role(0)); };
    const auto leave = [](outage_fleet& fleet) {
        const std::size_t candidate = fleet.node_with_role(1);
        fleet.set_log_reachable_for_all(false);
        fleet.renounce(candidate);
        for (int i = 0; i < 20; ++i) {
            fleet.advance(step);
        }
        fleet.kill(candidate);
    };
    const auto pause = [](outage_fleet& fleet) { fleet.set_paused(fleet.node_with_role(0), true); };
    const auto resume = [](outage_fleet& fleet) { fleet.resume_all(); };
    return {
        {"holder dies", kill(0), 0s, {}},
        {"holder dies, log down for 60 s", [=](outage_fleet& fleet) { kill(0)(fleet), log_down(fleet); }, 60s,
         log_up},
        {"holder paused for 3 s", pause, 3s, resume},
        {"holder paused for 30 s", pause, 30s, resume},
        {"log down for 600 s", log_down, outage, log_up},
        {"log down for 600 s, a candidate dies",
         [=](outage_fleet& fleet) { kill(1)(fleet), log_down(fleet); }, outage, log_up},
        {"log down for 600 s, a candidate leaves", leave, outage, log_up},
        {"a candidate dies", kill(1), 0s, {}},
        {"holder alone without the log for 600 s",
         [](outage_fleet& fleet) { fleet.set_log_reachable_for(fleet.node_with_role(0), false); }, outage,
         log_up},
        {"planned hand-over", drain, 0s, {}},
        {"planned hand-over, log down for 60 s", [=](outage_fleet& fleet) { drain(fleet), log_down(fleet); },
         60s, log_up},
        {"holder and both candidates die",
         [=](outage_fleet& fleet) {
             const std::size_t role_nodes[] = {fleet.node_with_role(0), fleet.node_with_role(1),
                                               fleet.node_with_role(2)};
             for (const std::size_t node : role_nodes) {
                 fleet.kill(node);
             }
         },
         0s,
         {}},
    };
}

}  // namespace

void run_outages() {
    std::printf("Seconds of refusals in %lld s after the failure\n",
                static_cast<long long>(std::chrono::seconds(measured_time).count()));
    std::printf("%-42s %-16s %10s %10s %12s %12s\n", "failure", "sends", "unreach.", "no answer",
                "slot_moving", "key_in_doubt");
    for (const failure_scenario& failure : failure_scenarios()) {
        const refusals seen = run(failure);
        print(failure.name, "first, marked", seen.marked);
        print("", "first, unmarked", seen.unmarked);
        print("", "of an old key", seen.resent_key);
    }
}

}  // namespace teaselpitch::bench
