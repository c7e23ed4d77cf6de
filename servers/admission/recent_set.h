#pragma once

#include <absl/container/flat_hash_map.h>

#include <algorithm>
#include <chrono>
#include <cstddef>

#include "core/clock.h"

namespace teaselpitch {

/// Keys that were added within a time span. Bounded; the oldest key is forgotten first. Not thread-safe.
template <typename Key>
class recent_set {
public:
    recent_set(std::chrono::milliseconds span, std::size_t max_keys) : span_(span), max_keys_(max_keys) {}

    void add(Key key, steady_time now) {
        if (added_at_.size() >= max_keys_ && !added_at_.contains(key)) {
            added_at_.erase(std::min_element(
                added_at_.begin(), added_at_.end(),
                [](const auto& left, const auto& right) { return left.second < right.second; }));
        }
        added_at_[key] = now;
    }

    [[nodiscard]] bool contains(Key key, steady_time now) const {
        const auto found = added_at_.find(key);
        return found != added_at_.end() && now - found->second < span_;
    }

private:
    const std::chrono::milliseconds span_;
    const std::size_t max_keys_;
    absl::flat_hash_map<Key, steady_time> added_at_;
};

}  // namespace teaselpitch
