#include "servers/routing/target_backlog.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <utility>
#include <vector>

namespace teaselpitch {
namespace {

constexpr double run_weight = 1.0 / 32;  // The speed follows a change within about 32 runs.
constexpr double result_weight = 1.0 / 8;
// One run of a heavy tail must not make its target look slow.
constexpr double max_observed_ratio = 4;
constexpr double min_speed = 0.1;
constexpr double max_speed = 4;
constexpr double min_success_share = 0.1;
constexpr double prior_runs = 4;  // Assumed runs at normal speed, so that the first runs decide little.

double to_ms(std::chrono::nanoseconds value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

}  // namespace

target_backlog::target_backlog(const time_source& clock, work_estimator& estimator)
    : clock_(clock), estimator_(estimator) {}

void target_backlog::on_offered(std::uint64_t ticket, const work_key& key) {
    const double mean_ms = estimator_.mean_ms(key);
    const std::lock_guard lock(mutex_);
    requests_.emplace(ticket, held_request{.key = key, .mean_ms = mean_ms});
}

void target_backlog::on_admitted(std::uint64_t ticket) {
    const std::lock_guard lock(mutex_);
    const auto found = requests_.find(ticket);
    if (found != requests_.end()) {
        found->second.started_at = clock_.now();
    }
}

void target_backlog::on_removed(std::uint64_t ticket) {
    const std::lock_guard lock(mutex_);
    requests_.erase(ticket);
}

void target_backlog::on_run_end(std::uint64_t ticket, run_verdict verdict,
                                std::chrono::nanoseconds duration) {
    const std::lock_guard lock(mutex_);
    const auto found = requests_.find(ticket);
    if (found == requests_.end()) {
        return;
    }
    const held_request request = found->second;
    requests_.erase(found);
    if (verdict == run_verdict::neutral) {
        return;
    }
    const bool success = verdict == run_verdict::success;
    success_share_ += result_weight * ((success ? 1.0 : 0.0) - success_share_);
    if (!success) {
        return;
    }
    // The work is the time at normal speed. With the full correction, the estimate of a node that sees only
    // its own target would never leave its first value; half of it converges to the observed time.
    const double correction = std::sqrt(speed());
    estimator_.learn(request.key, std::chrono::nanoseconds(static_cast<std::int64_t>(
                                      static_cast<double>(duration.count()) * correction)));
    update_speed(request.mean_ms, to_ms(duration));
}

void target_backlog::update_speed(double expected_ms, double observed_ms) {
    const double observed = std::min(observed_ms, max_observed_ratio * expected_ms);
    runs_ += 1 - run_weight * runs_;
    expected_sum_ms_ += expected_ms - run_weight * expected_sum_ms_;
    observed_sum_ms_ += observed - run_weight * observed_sum_ms_;
}

double target_backlog::speed() const {
    if (runs_ <= 0) {
        return 1;
    }
    const double prior_ms = prior_runs * expected_sum_ms_ / runs_;
    return std::clamp((expected_sum_ms_ + prior_ms) / std::max(observed_sum_ms_ + prior_ms, 1e-6), min_speed,
                      max_speed);
}

backlog_report target_backlog::report(std::uint32_t slots) const {
    const std::lock_guard lock(mutex_);
    return {.expected_wait_ms = expected_wait_ms(slots),
            .speed = std::max(min_speed, speed() * std::max(min_success_share, success_share_))};
}

// Assigns the queued requests to the slots in the order in which these become free.
double target_backlog::expected_wait_ms(std::uint32_t slots) const {
    if (requests_.size() < slots || slots == 0) {
        return 0;
    }
    const steady_time now = clock_.now();
    std::vector<double> free_at_ms;  // Min-heap: the slot that is free first is at the front.
    std::vector<std::pair<std::uint64_t, double>> queued_ms;  // Sorted by ticket, so by arrival.
    const double target_speed = speed();
    for (const auto& [ticket, request] : requests_) {
        if (request.started_at == steady_time{}) {
            queued_ms.emplace_back(ticket, request.mean_ms);
        } else {
            const auto done =
                std::chrono::duration<double, std::nano>(now - request.started_at) * target_speed;
            free_at_ms.push_back(estimator_.remaining_ms(
                request.key, std::chrono::duration_cast<std::chrono::nanoseconds>(done)));
        }
    }
    while (free_at_ms.size() < slots) {
        free_at_ms.push_back(0);
    }
    std::make_heap(free_at_ms.begin(), free_at_ms.end(), std::greater<>());
    std::sort(queued_ms.begin(), queued_ms.end());
    for (const auto& [ticket, work_ms] : queued_ms) {
        std::pop_heap(free_at_ms.begin(), free_at_ms.end(), std::greater<>());
        free_at_ms.back() += work_ms;
        std::push_heap(free_at_ms.begin(), free_at_ms.end(), std::greater<>());
    }
    return free_at_ms.front() / target_speed;
}

}  // namespace teaselpitch
