#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "core/clock.h"

namespace teaselpitch {

/// Runs callbacks in the order of their time and moves the manual clock along.
class event_queue {
public:
    explicit event_queue(manual_time_source& clock) : clock_(clock) {}

    void after(std::chrono::nanoseconds delay, std::function<void()> action) {
        events_.push({clock_.now() + delay, next_++, std::move(action)});
    }

    void run_until(steady_time end) {
        while (!events_.empty() && events_.top().at <= end) {
            event next = events_.top();
            events_.pop();
            clock_.advance(next.at - clock_.now());
            next.action();
        }
        clock_.advance(end - clock_.now());
    }

private:
    struct event {
        steady_time at;
        std::uint64_t order = 0;  ///< Keeps events of one time in the order of their creation.
        std::function<void()> action;

        bool operator<(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    manual_time_source& clock_;
    std::priority_queue<event> events_;
    std::uint64_t next_ = 0;
};

}  // namespace teaselpitch
