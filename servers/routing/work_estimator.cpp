#include "servers/routing/work_estimator.h"

#include <algorithm>
#include <bit>
#include <cmath>
#include <utility>

namespace teaselpitch {
namespace {

double to_ms(std::chrono::nanoseconds value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

// Bodies within a factor of four are alike.
std::uint64_t size_bucket(const request_head& head) {
    constexpr std::uint64_t unknown_size = 64;
    if (!head.has_body) {
        return 0;
    }
    return head.content_length ? 1 + static_cast<std::uint64_t>(std::bit_width(*head.content_length)) / 2
                               : unknown_size;
}

std::uint64_t combine(std::string_view text, std::uint64_t number, std::uint64_t seed) {
    return stable_hash(text, seed ^ (number * 0x9e3779b97f4a7c15U));
}

}  // namespace

work_key make_work_key(const request_head& head) {
    work_key key;
    const std::uint64_t service = stable_hash(head.service);
    const std::uint64_t route = combine(head.method, head.work_class, service);
    const std::uint64_t size = combine("", size_bucket(head) + 1, route);
    key.levels = {combine(head.account, 1, size), size, route, service};
    return key;
}

work_estimator::work_estimator(const time_source& clock, work_estimator_options options)
    : clock_(clock), options_(options) {}

work_estimator::entry& work_estimator::level::get(std::uint64_t key, std::size_t max_keys) {
    if (const auto found = current_.find(key); found != current_.end()) {
        return found->second;
    }
    entry item;
    if (const auto known = previous_.find(key); known != previous_.end()) {
        item = known->second;
        previous_.erase(known);
    }
    if (current_.size() >= std::max<std::size_t>(max_keys / 2, 1)) {
        previous_ = std::exchange(current_, {});
    }
    return current_.emplace(key, item).first->second;
}

const work_estimator::entry* work_estimator::level::find(std::uint64_t key) const {
    if (const auto found = current_.find(key); found != current_.end()) {
        return &found->second;
    }
    const auto known = previous_.find(key);
    return known == previous_.end() ? nullptr : &known->second;
}

void work_estimator::learn(const work_key& key, std::chrono::nanoseconds work) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    for (std::size_t i = 0; i < levels_.size(); ++i) {
        entry& item = levels_[i].get(key.levels[i], options_.max_keys_per_level);
        decay(item, now);
        item.work.add(to_ms(work));
    }
}

void work_estimator::decay(entry& item, steady_time now) const {
    constexpr double half = 0.5;
    if (item.decayed_at != steady_time{}) {
        const double half_lives = std::chrono::duration<double>(now - item.decayed_at) /
                                  std::chrono::duration<double>(options_.half_life);
        item.work.scale(std::exp2(-half_lives));
    }
    item.decayed_at = now;
    if (item.work.weight() >= options_.max_weight) {
        item.work.scale(half);
    }
}

double work_estimator::mean_ms(const work_key& key) const {
    return remaining_ms(key, std::chrono::nanoseconds{0});
}

double work_estimator::service_mean_ms(const work_key& key) const {
    const std::lock_guard lock(mutex_);
    const entry* item = levels_.back().find(key.levels.back());
    return item == nullptr ? options_.initial_work_ms : item->work.mean_ms();
}

double work_estimator::quantile_ms(const work_key& key, double share) const {
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i < levels_.size(); ++i) {
        const entry* item = levels_[i].find(key.levels[i]);
        if (item != nullptr && (item->work.weight() >= options_.fallback_weight || i + 1 == levels_.size())) {
            return item->work.quantile_ms(share);
        }
    }
    return options_.initial_work_ms;
}

// Starts with the coarsest key. At each finer one, only the samples that took longer than `elapsed` count.
double work_estimator::remaining_ms(const work_key& key, std::chrono::nanoseconds elapsed) const {
    const std::lock_guard lock(mutex_);
    const double elapsed_ms = to_ms(elapsed);
    // A run that outlasts all samples is expected to need the mean work once more.
    const entry* coarsest = levels_.back().find(key.levels.back());
    double result = coarsest == nullptr ? options_.initial_work_ms : coarsest->work.mean_ms();
    for (std::size_t i = levels_.size(); i-- > 0;) {
        const entry* item = levels_[i].find(key.levels[i]);
        if (item == nullptr) {
            continue;
        }
        const double weight = elapsed_ms <= 0 ? item->work.weight() : item->work.weight_above(elapsed_ms);
        const double fallback_weight = i + 1 == levels_.size() ? 1.0 : options_.fallback_weight;
        result = (weight * item->work.remaining_ms(elapsed_ms) + fallback_weight * result) /
                 (weight + fallback_weight);
    }
    return result;
}

std::size_t work_estimator::size() const {
    const std::lock_guard lock(mutex_);
    std::size_t sum = 0;
    for (const level& item : levels_) {
        sum += item.size();
    }
    return sum;
}

}  // namespace teaselpitch
