#include "servers/routing/completion_estimate.h"

#include <algorithm>
#include <cmath>

namespace teaselpitch {
namespace {

using std::chrono::duration;

// A report says little about single slots after the requests that it counted have ended.
constexpr duration<double> min_report_decay{0.25};
constexpr double report_decay_in_works = 4;
// The load of a whole zone changes more slowly.
constexpr duration<double> zone_report_decay{5};
constexpr double min_work_ms = 0.1;
constexpr double min_noise_ms = 1;
constexpr double min_spread = 0.25;  // In requests per slot.

// Smooth form of max(0, x).
double soft_excess(double excess, double spread) {
    const double scaled = excess / spread;
    constexpr double linear_above = 30;  // exp() would overflow for large values.
    return scaled > linear_above ? excess : spread * std::log1p(std::exp(scaled));
}

}  // namespace

completion_estimate::completion_estimate(const expected_work& work)
    : work_{.request_ms = std::max(work.request_ms, min_work_ms),
            .service_mean_ms = std::max(work.service_mean_ms, min_work_ms)} {}

double completion_estimate::reported_excess(const reported_load& load) const {
    const double slots = std::max(1U, load.slots);
    if (load.expected_wait_ms > 0) {
        // A slot that is free after the mean work is one excess request per slot.
        return load.expected_wait_ms * load.speed / work_.service_mean_ms;
    }
    return std::min(0.0, (load.requests - load.own_since_report - slots) / slots);
}

double completion_estimate::zone_weight(const reported_load& load) {
    return load.reported ? std::exp(-duration<double>(load.age) / zone_report_decay) : 0;
}

double completion_estimate::wait_ms(const reported_load& load, double zone_excess) const {
    const double slots = std::max(1U, load.slots);
    const duration<double> work_time{work_.service_mean_ms / load.speed / 1'000};
    const auto decay = std::max(min_report_decay, work_time * report_decay_in_works);
    const double weight = load.reported ? std::exp(-duration<double>(load.age) / decay) : 0;
    // All nodes choose by completion, so the targets of a zone have about equal waits, not equal queues.
    const double assumed_excess = zone_excess > 0 ? zone_excess * load.speed : zone_excess;
    // The own requests sent since the report are known; what the end of others frees may be taken already.
    const double own_change =
        std::max(0.0, load.own_since_report) + weight * std::min(0.0, load.own_since_report);
    const double excess = weight * reported_excess(load) + (1 - weight) * assumed_excess + own_change / slots;
    // One more request takes a slot. The spread is the standard deviation of the number of requests per slot
    // of a busy target whose state is unknown.
    const double spread = std::max(min_spread, 1 / std::sqrt(slots));
    const double mean_run_ms = work_.service_mean_ms / load.speed;
    return mean_run_ms * soft_excess(excess + 1 / slots, spread);
}

double completion_estimate::completion_ms(const reported_load& load, double zone_excess,
                                          double transfer_ms) const {
    return wait_ms(load, zone_excess) + work_.request_ms / load.speed + transfer_ms;
}

double completion_estimate::noise_ms(const reported_load& load) const {
    const double slots = std::max(1U, load.slots);
    constexpr double runs_per_slot = 0.1;
    return min_noise_ms + runs_per_slot * work_.service_mean_ms / load.speed / slots;
}

}  // namespace teaselpitch
