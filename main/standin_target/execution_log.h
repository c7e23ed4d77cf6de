#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace teaselpitch {

/// Records every execution of work since the process started; checkers compare it with recorded histories.
class execution_log {
public:
    /// Records the start of an execution and returns its sequence number, counted from 0.
    std::uint64_t record_start(std::string_view call_id, std::string_view idempotency_key,
                               std::uint64_t incarnation);

    /// Records the end of an execution; `state` is completed, cancelled, failed or crashed. Does nothing when
    /// the end is already recorded.
    void record_end(std::uint64_t sequence, std::string_view state);

    /// Marks all running executions as crashed.
    void mark_running_as_crashed();

    /// Formats the executions from a sequence number on as JSON lines. A running execution has the state
    /// "running" and end_us 0.
    [[nodiscard]] std::string format_json_lines(std::uint64_t sequence) const;

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string call_id;
        std::string idempotency_key;
        std::uint64_t incarnation = 0;
        std::int64_t start_us = 0;  // CLOCK_MONOTONIC, which is comparable between processes on one machine.
        std::int64_t end_us = 0;
        std::string state;
    };

    std::deque<entry> entries_;
};

}  // namespace teaselpitch
