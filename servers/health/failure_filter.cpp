#include "servers/health/failure_filter.h"

#include <cmath>

namespace teaselpitch {
failure_filter::failure_filter(const time_source& clock, failure_filter_options options)
    : clock_(clock),
      options_(options),
      probability_(prior()),
      updated_at_(clock.now()),
      last_trial_at_(clock.now() - options.trial_interval) {}

double failure_filter::prior() const {
    const std::chrono::duration<double> mean_healthy_time = options_.mean_healthy_time;
    const std::chrono::duration<double> mean_episode_time = options_.mean_episode_time;
    return mean_episode_time / (mean_episode_time + mean_healthy_time);
}

double failure_filter::probability_at(steady_time now) const {
    const std::chrono::duration<double> mean_healthy_time = options_.mean_healthy_time;
    const std::chrono::duration<double> mean_episode_time = options_.mean_episode_time;
    const std::chrono::duration<double> elapsed = now - updated_at_;
    const double rate = 1.0 / mean_episode_time.count() + 1.0 / mean_healthy_time.count();
    const double prior_probability = prior();
    return prior_probability + (probability_ - prior_probability) * std::exp(-rate * elapsed.count());
}

void failure_filter::update(double likelihood_in_episode, double likelihood_healthy) {
    const steady_time now = clock_.now();
    const double before = probability_at(now);
    const double in_episode = before * likelihood_in_episode;
    probability_ = in_episode / (in_episode + (1 - before) * likelihood_healthy);
    updated_at_ = now;
}

void failure_filter::on_success() {
    const std::lock_guard lock(mutex_);
    update(1 - options_.episode_failure_rate, 1 - options_.healthy_failure_rate);
}

void failure_filter::on_failure(bool quick) {
    const std::lock_guard lock(mutex_);
    update(options_.episode_failure_rate,
           quick ? options_.healthy_failure_rate : options_.healthy_slow_failure_rate);
}

bool failure_filter::try_admit(bool non_idempotent) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    const double current = probability_at(now);
    if (non_idempotent) {
        return current < options_.suspect_threshold;
    }
    if (current < options_.trial_threshold) {
        return true;
    }
    if (now - last_trial_at_ < options_.trial_interval) {
        return false;
    }
    last_trial_at_ = now;
    return true;
}

double failure_filter::probability() const {
    const std::lock_guard lock(mutex_);
    return probability_at(clock_.now());
}

}  // namespace teaselpitch
