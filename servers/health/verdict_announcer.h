#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace teaselpitch {

struct announcer_options {
    std::chrono::milliseconds recent_use_time{
        10'000};  ///< Time after its last request for which a node counts as a user of the target.
    std::size_t max_nodes = 64;  ///< Bounds the memory and the size of one announcement.
};

/// Determines at a gate which nodes to notify immediately when the verdict on its target starts or stops
/// triggering ejection. Otherwise a node that waits for an answer of a hanging target, or that sends requests
/// rarely, would receive the verdict only with the next round of gossip. Safe to use from several threads;
/// the lock is held for microseconds.
class verdict_announcer {
public:
    verdict_announcer(const time_source& clock, announcer_options options);

    /// Records that a node sent a request for the target.
    void on_request(std::string_view node);
    /// Applies the current outlier score. Returns the nodes to notify when it crossed 1 since the last call.
    std::vector<std::string> on_outlier_score(double outlier_score);

private:
    void remove_old_nodes();

    const time_source& clock_;
    const announcer_options options_;
    std::mutex mutex_;
    std::map<std::string, steady_time, std::less<>> nodes_;
    bool ejection_triggered_ = false;
};

}  // namespace teaselpitch
