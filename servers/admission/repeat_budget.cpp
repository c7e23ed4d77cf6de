#include "servers/admission/repeat_budget.h"

#include <algorithm>

namespace teaselpitch {
namespace {

// Less urgent requests leave this part of the budget to the urgent ones, whose bursts come without notice.
constexpr double part_for_urgent = 0.25;
constexpr std::uint32_t last_urgent_rank = 1;

}  // namespace

repeat_budget::repeat_budget(const time_source& clock, const repeat_budget_options& options)
    : clock_(clock),
      options_(options),
      started_(clock.now()),
      targets_(std::max<std::size_t>(options.least_targets, 1)) {}

void repeat_budget::set_targets(std::size_t targets) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    const std::size_t wanted = std::max({targets, options_.least_targets, std::size_t{1}});
    if (wanted >= targets_) {
        targets_ = wanted;
        lower_targets_ = 0;
        return;
    }
    // Targets that seem gone may only be cut off and go on spending their parts.
    if (lower_targets_ == 0) {
        fell_at_ = now;
    }
    lower_targets_ = std::max(lower_targets_, wanted);
    if (now - fell_at_ >= options_.window) {
        targets_ = lower_targets_;
        lower_targets_ = 0;
    }
}

void repeat_budget::on_first_arrival(double inherited) {
    const std::lock_guard lock(mutex_);
    second_count& count = current_count();
    count.first += 1;
    count.repeats += std::clamp(inherited, 0.0, 1.0);
}

bool repeat_budget::try_take(std::uint32_t rank) {
    const std::lock_guard lock(mutex_);
    if (!has_room_locked(rank)) {
        return false;
    }
    current_count().repeats += 1;
    return true;
}

bool repeat_budget::has_room(std::uint32_t rank) const {
    const std::lock_guard lock(mutex_);
    return has_room_locked(rank);
}

double repeat_budget::left() const {
    const std::lock_guard lock(mutex_);
    const balance now = balance_now();
    return now.granted - now.spent;
}

bool repeat_budget::has_room_locked(std::uint32_t rank) const {
    const balance now = balance_now();
    const double reserved = rank > last_urgent_rank ? part_for_urgent * now.granted : 0.0;
    return now.granted - now.spent - reserved >= 1.0;
}

std::int64_t repeat_budget::current_second() const {
    return std::chrono::duration_cast<std::chrono::seconds>(clock_.now().time_since_epoch()).count();
}

repeat_budget::second_count& repeat_budget::current_count() {
    const std::int64_t second = current_second();
    second_count& count = counts_[static_cast<std::size_t>(second) % counts_.size()];
    if (count.second != second) {
        count = second_count{.second = second};
    }
    return count;
}

repeat_budget::balance repeat_budget::balance_now() const {
    const std::int64_t now = current_second();
    const std::int64_t window = std::clamp(options_.window, std::chrono::seconds{1}, maximum_window).count();
    double first = 0;
    double first_before = 0;
    double spent = 0;
    for (const second_count& count : counts_) {
        const std::int64_t age = now - count.second;
        if (count.second < 0 || age >= 2 * window) {
            continue;
        }
        (age < window ? first : first_before) += count.first;
        // The oldest second is still partly inside a window that ends now.
        spent += age <= window ? count.repeats : 0.0;
    }
    const std::chrono::duration<double> age = clock_.now() - started_;
    const double grown = std::min(age.count() / static_cast<double>(window), 1.0);
    return {.granted = options_.ratio * std::max(first, first_before) +
                       options_.slack * grown / static_cast<double>(targets_),
            .spent = spent};
}

}  // namespace teaselpitch
