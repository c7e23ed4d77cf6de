#include "main/bench_health/fleet.h"

#include <functional>
#include <utility>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds gate_tick{20};
constexpr std::chrono::milliseconds node_tick{100};
constexpr std::chrono::seconds gossip_period{1};

}  // namespace

fleet::fleet(const fleet_options& options)
    : options_(options),
      events_(clock_),
      random_(options.seed),
      faults_(clock_, options.fault, clock_.now() + options.fault_after, options.prefer_local_zone ? 0 : 1,
              options.seed * 7 + 1),
      baseline_(options.seed * 13 + 5) {
    build_nodes(options.seed);
    start_timers();
}

void fleet::build_nodes(std::uint64_t seed) {
    std::vector<target_identity> identities;
    for (std::size_t i = 0; i < options_.targets; ++i) {
        identities.push_back({"t" + std::to_string(i), 1});
        registered_targets_.push_back({.identity = identities.back(),
                                       .node = "n" + std::to_string(i),
                                       .zone = "z" + std::to_string(zone_of(i)),
                                       .slots = options_.slots,
                                       .ready_since = clock_.now() - 1h});
        gates_.push_back({.outlier_detector = std::make_unique<target_outlier_detector>(
                              clock_, identities.back().name,
                              outlier_detection_options_for(options_.policy, options_.slots)),
                          .announcer = std::make_unique<verdict_announcer>(clock_, announcer_options{})});
    }
    baseline_.replace_targets(identities);
    for (std::size_t i = 0; i < options_.targets; ++i) {
        const chooser_options choosing{.local_zone = registered_targets_[i].zone,
                                       .local_zone_max_load = options_.prefer_local_zone ? 0.8 : 0.0};
        nodes_.push_back(
            {.name = registered_targets_[i].node,
             .zone = zone_of(i),
             .digest = std::make_unique<service_digest>(clock_, digest_options{}),
             .paths = std::make_unique<path_fault_detector>(clock_, path_fault_options_for(options_.policy)),
             .target_ejector = std::make_unique<ejector>(clock_, ejector_options{}),
             .chooser = std::make_unique<target_chooser>(clock_, choosing, seed * 1'000 + i),
             .retries = std::make_unique<retry_policy>(clock_, retry_options{}),
             .quarantine = std::make_unique<crash_quarantine>(clock_, quarantine_options{})});
        nodes_.back().target_ejector->replace_targets(registered_targets_);
        nodes_.back().target_ejector->on_tick();
        apply_shares(i);
    }
}

void fleet::start_timers() {
    std::uniform_int_distribution<int> phase(0, 999);
    const auto random_phase = [&] { return std::chrono::milliseconds(phase(random_)); };
    for (std::size_t i = 0; i < options_.targets; ++i) {
        schedule_every(gate_tick, random_phase() / 50, [this, i] { tick_gate(i); });
        schedule_every(node_tick, random_phase() / 10, [this, i] { tick_node(i); });
        schedule_every(gossip_period, random_phase(), [this, i] { push_summary(i); });
        schedule_every(gossip_period, random_phase(), [this, i] { push_verdict(i); });
        schedule_every(gossip_period, random_phase(), [this, i] { push_hints(i); });
    }
    if (options_.fault == fault_kind::crashing_request) {
        schedule_every(500ms, options_.fault_after, [this] { send_crashing_request(); });
    }
    events_.schedule_after(0ns, [this] { generate_request(); });
}

void fleet::schedule_every(std::chrono::nanoseconds period, std::chrono::nanoseconds first,
                           std::function<void()> action) {
    events_.schedule_after(first, [this, period, action = std::move(action)] {
        action();
        schedule_every(period, period, action);
    });
}

fleet_result fleet::run(std::chrono::seconds time) {
    events_.run_until(clock_.now() + time);
    return result_;
}

}  // namespace teaselpitch
