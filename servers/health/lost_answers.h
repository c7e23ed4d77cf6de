#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"

namespace teaselpitch {

struct lost_answer_options {
    /// Time in which the end of a target's process is attributed to the requests whose answers it lost. A
    /// restarted target announces itself within seconds.
    std::chrono::seconds memory{10};
    std::size_t max_answers = 1'024;  ///< Bounds the memory.
};

/// A request whose answer was lost while the target went on accepting connections.
struct lost_answer {
    target_identity target{};
    std::string service{};
    std::uint64_t fingerprint = 0;
};

/// Remembers the requests whose answers were lost, until it is known whether the target's process has ended.
///
/// A connection that is closed or reset during a request does not show that the target crashed: the answer
/// may be lost on the way or discarded by a sound target. Only the end of the process makes it a crash.
/// Safe to use from several threads.
class lost_answers {
public:
    explicit lost_answers(const time_source& clock, lost_answer_options options = {});

    void add(lost_answer lost);
    /// Removes and returns the recent lost answers of one incarnation of a target, whose process has ended.
    std::vector<lost_answer> take(const target_identity& target);
    /// Removes the lost answers of a target that left as announced.
    void forget(const target_identity& target) { take(target); }

    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        lost_answer lost;
        steady_time lost_at{};
    };

    void remove_expired();

    const time_source& clock_;
    const lost_answer_options options_;
    mutable std::mutex mutex_;
    std::deque<entry> entries_;  ///< The oldest first.
};

}  // namespace teaselpitch
