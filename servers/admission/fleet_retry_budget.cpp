#include "servers/admission/fleet_retry_budget.h"

#include <algorithm>

namespace teaselpitch {
namespace {

// Fraction of the budget that is reserved for urgent requests, because their bursts are not predictable.
constexpr double urgent_fraction = 0.25;
constexpr std::uint32_t max_urgent_rank = 1;
// A request that is more likely to be a retry than not is treated as one.
constexpr double probable_retry = 0.5;

}  // namespace

fleet_retry_budget::fleet_retry_budget(const time_source& clock, const fleet_retry_budget_options& options)
    : clock_(clock),
      options_(options),
      started_(clock.now()),
      target_count_(std::max<std::size_t>(options.min_target_count, 1)) {}

void fleet_retry_budget::set_target_count(std::size_t target_count) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    const std::size_t wanted_count = std::max({target_count, options_.min_target_count, std::size_t{1}});
    if (wanted_count >= target_count_) {
        target_count_ = wanted_count;
        pending_target_count_ = 0;
        return;
    }
    // Unreachable targets may only be separated by a partition and still spend their shares.
    if (pending_target_count_ == 0) {
        count_fell_at_ = now;
    }
    pending_target_count_ = std::max(pending_target_count_, wanted_count);
    if (now - count_fell_at_ >= options_.window) {
        target_count_ = pending_target_count_;
        pending_target_count_ = 0;
    }
}

bool fleet_retry_budget::try_count_first_arrival(double retry_probability) {
    const std::lock_guard lock(mutex_);
    if (!accepts_first_arrival_locked(retry_probability)) {
        return false;
    }
    per_second_counts& count = current_counts();
    count.first_arrivals += 1;
    count.retries += std::clamp(retry_probability, 0.0, 1.0);
    return true;
}

bool fleet_retry_budget::accepts_first_arrival(double retry_probability) const {
    const std::lock_guard lock(mutex_);
    return accepts_first_arrival_locked(retry_probability);
}

bool fleet_retry_budget::accepts_first_arrival_locked(double retry_probability) const {
    if (retry_probability < probable_retry) {
        return true;
    }
    const balance now = current_balance();
    return now.granted - now.spent >= retry_probability;
}

bool fleet_retry_budget::try_spend_retry(std::uint32_t rank) {
    const std::lock_guard lock(mutex_);
    if (!has_retry_left_locked(rank)) {
        return false;
    }
    current_counts().retries += 1;
    return true;
}

bool fleet_retry_budget::has_retry_left(std::uint32_t rank) const {
    const std::lock_guard lock(mutex_);
    return has_retry_left_locked(rank);
}

double fleet_retry_budget::remaining_retries() const {
    const std::lock_guard lock(mutex_);
    const balance now = current_balance();
    return now.granted - now.spent;
}

bool fleet_retry_budget::has_retry_left_locked(std::uint32_t rank) const {
    const balance now = current_balance();
    const double reserved = rank > max_urgent_rank ? urgent_fraction * now.granted : 0.0;
    return now.granted - now.spent - reserved >= 1.0;
}

std::int64_t fleet_retry_budget::current_second() const {
    return std::chrono::duration_cast<std::chrono::seconds>(clock_.now().time_since_epoch()).count();
}

fleet_retry_budget::per_second_counts& fleet_retry_budget::current_counts() {
    const std::int64_t second = current_second();
    per_second_counts& count = counts_[static_cast<std::size_t>(second) % counts_.size()];
    if (count.second != second) {
        count = per_second_counts{.second = second};
    }
    return count;
}

fleet_retry_budget::balance fleet_retry_budget::current_balance() const {
    const std::int64_t now = current_second();
    const std::int64_t window = std::clamp(options_.window, std::chrono::seconds{1}, max_window).count();
    double first_arrivals = 0;
    double spent = 0;
    for (const per_second_counts& count : counts_) {
        const std::int64_t age = now - count.second;
        if (count.second < 0) {
            continue;
        }
        first_arrivals += age < window ? count.first_arrivals : 0.0;
        // The oldest second is still partly within a window that ends now.
        spent += age <= window ? count.retries : 0.0;
    }
    const std::chrono::duration<double> age = clock_.now() - started_;
    const double growth = std::min(age.count() / static_cast<double>(window), 1.0);
    // Only this window counts. The rule for the fleet also accepts the previous one, but the larger of the
    // two at each gate would add up to more than that when requests move from one target to another.
    return {.granted = options_.ratio * first_arrivals +
                       options_.slack * growth / static_cast<double>(target_count_),
            .spent = spent};
}

}  // namespace teaselpitch
