#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace teaselpitch {

/// Every execution of work since the start of the process, for checkers of recorded histories.
class execution_log {
public:
    /// Records the start of an execution and returns its sequence number, counted from 0.
    std::uint64_t start(std::string_view call_id, std::string_view idempotency_key,
                        std::uint64_t incarnation);

    /// Records the end; state is completed, cancelled, failed or crashed.
    void finish(std::uint64_t sequence, std::string_view state);

    /// Marks what still runs as crashed.
    void crash();

    /// JSON lines from a sequence number on. An execution that runs has the state "running" and end_us 0.
    [[nodiscard]] std::string format_from(std::uint64_t sequence) const;

    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::string call_id;
        std::string idempotency_key;
        std::uint64_t incarnation = 0;
        std::int64_t start_us = 0;  // CLOCK_MONOTONIC: comparable between processes of one machine.
        std::int64_t end_us = 0;
        std::string state;
    };

    std::deque<entry> entries_;
};

}  // namespace teaselpitch
