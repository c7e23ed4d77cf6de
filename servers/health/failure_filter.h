#pragma once

#include <chrono>
#include <mutex>

#include "core/clock.h"

namespace teaselpitch {

struct failure_filter_options {
    double healthy_failure_rate = 0.02;  ///< Scattered errors of a healthy target.
    double sick_failure_rate = 0.6;      ///< A gray target fails at least about half of its work.
    std::chrono::milliseconds time_between_episodes{30'000};
    std::chrono::milliseconds episode{1'500};          ///< Expected length of the first episode.
    std::chrono::milliseconds longest_episode{6'000};  ///< Bound of its growth with each relapse.
    double suspect_from = 0.33;  ///< Probability of an episode from which work that runs only once goes elsewhere.
    double trial_from = 0.75;    ///< Probability from which even work that may repeat is limited to trials.
    std::chrono::milliseconds trial_interval{300};  ///< Between trials of a target that is surely sick.
};

/// Recognises short episodes in which a target fails much of its work while its health check is good.
///
/// Pattern: each target fails most of its requests for a second or a few, now and then, at a rate of a few requests a
/// second, so that tests over dozens of samples come too late. The filter is a hidden Markov model with the states
/// healthy and sick: each outcome updates the probability of an episode, and time lets it return to the prior. The
/// gate asks it at the moment of admission, where no report can be out of date. Requests that may repeat serve as
/// trials. Safe to use from several threads.
class failure_filter {
public:
    failure_filter(const time_source& clock, failure_filter_options options);

    // Commands.
    void on_success();
    void on_failure();
    /// Asks for a place for one request; a request that is taken may be the trial of a sick target.
    bool try_take(bool non_idempotent);

    // Queries.
    /// Probability that the target is in an episode now.
    [[nodiscard]] double probability() const;

private:
    [[nodiscard]] double probability_at(steady_time now) const;
    [[nodiscard]] double prior() const;
    void update(double likelihood_sick, double likelihood_healthy);

    const time_source& clock_;
    const failure_filter_options options_;
    mutable std::mutex mutex_;
    double probability_;
    std::chrono::duration<double> episode_;
    steady_time updated_at_;
    steady_time last_trial_;
    bool failed_last_ = false;
};

}  // namespace teaselpitch
