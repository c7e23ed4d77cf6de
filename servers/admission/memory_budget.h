#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

#include "core/clock.h"

namespace teaselpitch {

/// Fill level of a memory budget. Each mark adds a restriction to those of the marks below it.
enum class memory_mark : std::uint8_t {
    calm,
    low,       ///< Bodies are not read and further pipelined heads wait.
    high,      ///< New requests with a body are refused.
    critical,  ///< All new requests are refused, and connections are closed.
};

/// Actions that are counted for metrics.
enum class memory_action : std::uint8_t {
    request_refused,    ///< 503 because the budget was used up.
    stalled_closed,     ///< Closed without progress while other bodies waited for memory.
    critical_closed,    ///< Closed because the budget was used up.
    connection_closed,  ///< Closed because of the bound on caller connections.
};
constexpr std::size_t memory_action_count = 4;

struct memory_budget_options {
    std::size_t capacity_bytes = 0;
    /// Half of the budget is left for answers, heads and streams, which are not held back at this mark.
    double low_share = 0.5;
    double high_share = 0.75;
    /// A caller that sends anything within this time is not stalled. A body of 16 KB takes 13 ms on the
    /// slowest link (10 Mbit/s), and a lost segment is sent again within a second.
    std::chrono::milliseconds stall{1'000};
};

/// Account of the bytes that one process holds for its callers, by holder (a connection or an exchange), and
/// the decisions about them. Thread-safe; performs no I/O.
class memory_budget {
public:
    using holder_id = std::uint64_t;

    memory_budget(const time_source& clock, const memory_budget_options& options);

    // Commands.
    /// `owner` identifies the server that can close the holder; null when nothing can close it.
    holder_id add_holder(const void* owner);
    /// Also releases what the holder still holds.
    void remove_holder(holder_id id);
    /// Counts bytes that are in use already.
    void charge(holder_id id, std::size_t bytes);
    /// Counts the bytes unless the sum would exceed the mark; false when it would.
    bool try_charge(holder_id id, std::size_t bytes, memory_mark mark);
    void release(holder_id id, std::size_t bytes);
    /// Notes that the caller sent bytes.
    void note_progress(holder_id id);
    /// A holder whose request may have been sent to a target, even in part, is never closed.
    void set_sent(holder_id id, bool sent);
    /// Notes that a body starts (1) or stops (-1) to wait for memory.
    void add_waiting(int count);
    /// Returns a holder of this owner that must be closed now, once; empty when there is none. Above the
    /// critical mark it is the one with the largest product of bytes and time without progress. Below it, a
    /// holder is closed only when another body waits for memory and it has stalled.
    std::optional<holder_id> take_victim(const void* owner);
    void count(memory_action action);

    // Queries.
    [[nodiscard]] memory_mark mark() const;
    [[nodiscard]] std::size_t held_bytes() const;
    [[nodiscard]] std::size_t bytes_at(memory_mark mark) const;
    [[nodiscard]] std::uint64_t count_of(memory_action action) const;

private:
    struct holder {
        const void* owner = nullptr;
        std::size_t bytes = 0;
        steady_time progress_at;
        bool sent = false;
        bool closing = false;
    };

    [[nodiscard]] memory_mark mark_of(std::size_t bytes) const;

    const time_source& clock_;
    const memory_budget_options options_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<holder_id, holder> holders_;
    holder_id next_id_ = 1;
    std::size_t held_ = 0;
    std::size_t closing_bytes_ = 0;  ///< Held by holders that are being closed.
    int closing_count_ = 0;
    int waiting_ = 0;
    std::array<std::uint64_t, memory_action_count> counts_{};
};

}  // namespace teaselpitch
