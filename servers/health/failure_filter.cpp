#include "servers/health/failure_filter.h"

#include <algorithm>
#include <cmath>

namespace teaselpitch {
namespace {

constexpr double relapse_growth = 1.5;   // Expected length of an episode after a failed trial.
constexpr double success_shrink = 0.8;   // And after a success.

}  // namespace

failure_filter::failure_filter(const time_source& clock, failure_filter_options options)
    : clock_(clock),
      options_(options),
      probability_(0),
      episode_(options.episode),
      updated_at_(clock.now()),
      last_trial_(clock.now() - options.trial_interval) {
    probability_ = prior();
}

double failure_filter::prior() const {
    const std::chrono::duration<double> healthy = options_.time_between_episodes;
    return episode_ / (episode_ + healthy);
}

double failure_filter::probability_at(steady_time now) const {
    const std::chrono::duration<double> healthy = options_.time_between_episodes;
    const std::chrono::duration<double> elapsed = now - updated_at_;
    const double rate = 1.0 / episode_.count() + 1.0 / healthy.count();
    const double rest = prior();
    return rest + (probability_ - rest) * std::exp(-rate * elapsed.count());
}

void failure_filter::update(double likelihood_sick, double likelihood_healthy) {
    const steady_time now = clock_.now();
    const double before = probability_at(now);
    const double sick = before * likelihood_sick;
    probability_ = sick / (sick + (1 - before) * likelihood_healthy);
    updated_at_ = now;
}

void failure_filter::on_success() {
    const std::lock_guard lock(mutex_);
    update(1 - options_.sick_failure_rate, 1 - options_.healthy_failure_rate);
    const std::chrono::duration<double> shortest = options_.episode;
    episode_ = std::max(episode_ * success_shrink, shortest);
    failed_last_ = false;
}

void failure_filter::on_failure() {
    const std::lock_guard lock(mutex_);
    const bool relapse = probability_at(clock_.now()) >= options_.suspect_from / 2;
    update(options_.sick_failure_rate, options_.healthy_failure_rate);
    if (relapse) {
        const std::chrono::duration<double> longest = options_.longest_episode;
        episode_ = std::min(episode_ * relapse_growth, longest);
    }
    failed_last_ = true;
}

bool failure_filter::try_take(bool non_idempotent) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    const double current = probability_at(now);
    if (non_idempotent && current >= options_.suspect_from) {
        return false;
    }
    const bool needs_trial = non_idempotent ? failed_last_ : current >= options_.trial_from;
    if (!needs_trial) {
        return true;
    }
    if (now - last_trial_ < options_.trial_interval) {
        return false;
    }
    last_trial_ = now;
    return true;
}

double failure_filter::probability() const {
    const std::lock_guard lock(mutex_);
    return probability_at(clock_.now());
}

}  // namespace teaselpitch
