#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

namespace teaselpitch {

/// Token bucket for the streams that a peer resets. It starts full and holds the tokens of one second.
class reset_limiter {
public:
    using time_point = std::chrono::steady_clock::time_point;

    reset_limiter(std::uint32_t max_per_second, time_point now)
        : max_per_second_(max_per_second), tokens_(max_per_second_), filled_at_(now) {}

    /// Counts one reset; false when it exceeds the limit.
    bool take(time_point now) {
        const double elapsed_s = std::chrono::duration<double>(now - filled_at_).count();
        tokens_ = std::min(max_per_second_, tokens_ + elapsed_s * max_per_second_);
        filled_at_ = now;
        if (tokens_ < 1) {
            return false;
        }
        tokens_ -= 1;
        return true;
    }

private:
    double max_per_second_;
    double tokens_;
    time_point filled_at_;
};

}  // namespace teaselpitch
