#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace teaselpitch {

/// Runs callbacks in the order of their scheduled times and advances the manual clock to each of them.
class event_queue {
public:
    explicit event_queue(manual_time_source& clock) : clock_(clock) {}

    void schedule_after(std::chrono::nanoseconds delay, std::function<void()> action) {
        events_.push({clock_.now() + delay, next_sequence_number_++, std::move(action)});
    }

    void run_until(steady_time end) {
        while (!events_.empty() && events_.top().time <= end) {
            event next = events_.top();
            events_.pop();
            clock_.advance(next.time - clock_.now());
            next.action();
        }
        clock_.advance(end - clock_.now());
    }

private:
    struct event {
        steady_time time;
        std::uint64_t sequence_number = 0;  ///< Runs events with equal times in the order of their creation.
        std::function<void()> action;

        bool operator<(const event& other) const {
            return time != other.time ? time > other.time : sequence_number > other.sequence_number;
        }
    };

    manual_time_source& clock_;
    std::priority_queue<event> events_;
    std::uint64_t next_sequence_number_ = 0;
};

}  // namespace teaselpitch
