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
    std::chrono::milliseconds recent{10'000};  ///< A node counts as a user of the target for this long.
    std::size_t most_nodes = 64;               ///< Bounds memory and the size of one announcement.
};

/// Decides at a gate which nodes are told at once when the verdict on its target starts or stops asking for
/// ejection. Without this, a node that waits for an answer of a hanging target, or that sends work only
/// now and then, hears the verdict with the next round of gossip. Safe to use from several threads; the
/// lock is held for microseconds.
class verdict_announcer {
public:
    verdict_announcer(const time_source& clock, announcer_options options);

    /// Notes that a node sent work for the target.
    void on_request(std::string_view node);
    /// Takes the current badness. Returns the nodes to tell when it crossed 1 since the last call.
    std::vector<std::string> on_badness(double badness);

private:
    void forget_old();

    const time_source& clock_;
    const announcer_options options_;
    std::mutex mutex_;
    std::map<std::string, steady_time, std::less<>> nodes_;
    bool asked_for_ejection_ = false;
};

}  // namespace teaselpitch
