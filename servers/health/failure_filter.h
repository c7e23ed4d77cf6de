#pragma once

#include <chrono>
#include <mutex>

#include "core/clock.h"

namespace teaselpitch {

struct failure_filter_options {
    double healthy_failure_rate = 0.02;  ///< Scattered errors of a healthy target.
    double healthy_slow_failure_rate =
        0.10;                        ///< Errors after a usual time of work; often those of a call it made.
    double sick_failure_rate = 0.7;  ///< A gray target fails most of its work.
    std::chrono::milliseconds healthy{15'000};  ///< Expected time between two episodes.
    std::chrono::milliseconds episode{4'000};   ///< Expected length of an episode.
    /// Probability of an episode from which work that may run only once goes elsewhere.
    double suspect_from = 0.25;
    /// Probability from which work that may repeat is limited to trials.
    double trial_from = 0.55;
    std::chrono::milliseconds trial_interval{400};  ///< Between trials.
};

/// Recognises short episodes in which a target fails much of its work while its health check is good.
///
/// Pattern: each target fails most of its requests for a second or a few, now and then, at a rate of a few
/// requests a second, so that tests over dozens of samples come too late. The filter is a hidden Markov model
/// with the states healthy and sick: each outcome updates the probability of an episode, and time lets it
/// return to the prior. The gate asks it at the moment of admission, where no report can be out of date.
/// Requests that may repeat serve as trials. Safe to use from several threads.
class failure_filter {
public:
    failure_filter(const time_source& clock, failure_filter_options options);

    // Commands.
    void on_success();
    /// `quick` failures came before the target can have done the work.
    void on_failure(bool quick);
    /// Asks for a place for one request; a request that is taken may be the trial of a sick target.
    bool try_take(bool non_idempotent);

    // Queries.
    /// Probability that the target is in an episode now.
    [[nodiscard]] double probability() const;
    /// True when work that may run only once should go elsewhere.
    [[nodiscard]] bool suspect() const { return probability() >= options_.suspect_from; }

private:
    [[nodiscard]] double probability_at(steady_time now) const;
    [[nodiscard]] double prior() const;
    void update(double likelihood_sick, double likelihood_healthy);

    const time_source& clock_;
    const failure_filter_options options_;
    mutable std::mutex mutex_;
    double probability_;
    steady_time updated_at_;
    steady_time last_trial_;
};

}  // namespace teaselpitch
