#pragma once

#include <chrono>
#include <mutex>

#include "core/clock.h"

namespace teaselpitch {

struct failure_filter_options {
    double healthy_failure_rate = 0.02;       ///< Rate of scattered errors of a healthy target.
    double healthy_slow_failure_rate = 0.10;  ///< Rate of errors after the usual processing time, often
                                              ///< caused by a downstream call of the target.
    double episode_failure_rate = 0.7;        ///< A target with a gray failure fails most of its requests.
    std::chrono::milliseconds mean_healthy_time{15'000};  ///< Expected time between two episodes.
    std::chrono::milliseconds mean_episode_time{4'000};   ///< Expected length of an episode.
    /// Probability of an episode from which non-idempotent requests are refused.
    double suspect_threshold = 0.25;
    /// Probability of an episode from which idempotent requests are limited to trials.
    double trial_threshold = 0.55;
    std::chrono::milliseconds trial_interval{400};  ///< Minimum time between two trials.
};

/// Detects short episodes in which a target fails most of its requests although its health check passes.
///
/// Such episodes last one or a few seconds and recur. At a few requests per second, a test that needs dozens
/// of samples detects them too late. The filter is a hidden Markov model with the states healthy and in an
/// episode: each outcome updates the probability of an episode, which returns to the prior over time. The
/// gate queries it at the time of admission, where no report can be outdated. Idempotent requests serve as
/// trials. Safe to use from several threads.
class failure_filter {
public:
    failure_filter(const time_source& clock, failure_filter_options options);

    // Commands.
    void on_success();
    /// `quick` is true for a failure that arrived before the target can have processed the request.
    void on_failure(bool quick);
    /// Returns true when the request is admitted. An admitted idempotent request may be a trial of a target
    /// that is probably in an episode.
    bool try_admit(bool non_idempotent);

    // Queries.
    /// Returns the probability that the target is currently in an episode.
    [[nodiscard]] double probability() const;
    /// Returns true when non-idempotent requests should be sent to another target.
    [[nodiscard]] bool is_suspect() const { return probability() >= options_.suspect_threshold; }

private:
    [[nodiscard]] double probability_at(steady_time now) const;
    [[nodiscard]] double prior() const;
    void update(double likelihood_in_episode, double likelihood_healthy);

    const time_source& clock_;
    const failure_filter_options options_;
    mutable std::mutex mutex_;
    double probability_;
    steady_time updated_at_;
    steady_time last_trial_at_;
};

}  // namespace teaselpitch
