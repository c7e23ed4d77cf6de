#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>

#include "core/clock.h"
#include "servers/admission/admission_queue.h"
#include "servers/admission/recent_set.h"

namespace teaselpitch {

/// Identifies a caller at a gate: the hash of its client account or of its address; 0 is unknown.
using caller_id = std::uint32_t;

struct slot_loan_options {
    /// Time that a slot waits for its caller before it may be reclaimed. TCP repairs two lost segments in a
    /// row within it (RFC 6298: 1 s and 2 s).
    std::chrono::milliseconds patience{3'000};
    /// The same for a caller that gave way lately; covers one lost segment.
    std::chrono::milliseconds repeated_patience{1'000};
    /// Time that a slot waits for its caller, at any pace, before it may be reclaimed because too many are
    /// lent. A transfer of 12 MB over the slowest link (10 Mbit/s) ends within it.
    std::chrono::milliseconds share_patience{10'000};
    /// A caller at this pace uses up no patience. A twentieth of the slowest link (10 Mbit/s).
    std::uint64_t min_bytes_per_s = 64'000;
    /// Share of the slots, at least one, that is not lent while other requests ask for them; 0 lends all.
    double kept_share = 0.25;
    /// Time for which other requests, long answers and callers that gave way are remembered.
    std::chrono::milliseconds memory{60'000};
};

/// Why a slot was reclaimed.
enum class reclaim_reason : std::uint8_t {
    slow_caller,  ///< The caller used up its patience.
    share,        ///< More slots were lent than may be, and this one waited for its caller for longest.
};
constexpr std::size_t reclaim_reason_count = 2;

struct slot_loan_load {
    std::uint32_t lent = 0;  ///< Slots that are lent, without those being reclaimed.
    std::uint32_t callers = 0;
    std::uint32_t most_by_one_caller = 0;
    std::chrono::nanoseconds longest_wait{0};                     ///< Of a slot for its caller.
    std::uint64_t refused = 0;                                    ///< Since the start.
    std::array<std::uint64_t, reclaim_reason_count> reclaimed{};  ///< Since the start, by reason.

    bool operator==(const slot_loan_load&) const = default;
};

struct reclaimed_slot {
    ticket_id ticket = 0;
    reclaim_reason reason = reclaim_reason::slow_caller;
};

/// Decides how long a caller may keep a slot of one target.
///
/// A slot is lent when its caller's speed decides how long it is taken: the request's body is still arriving,
/// or its answer is longer than what a node holds. A lent slot is reclaimed only while it waits for its
/// caller and another request waits for a slot. All other requests never give way. Thread-safe; performs no
/// I/O.
class slot_loans {
public:
    slot_loans(const time_source& clock, const slot_loan_options& options);

    // Commands.
    void lend(ticket_id ticket, caller_id caller);
    /// Requests with this fingerprint have answers that need a loan; 0 is unknown and ignored.
    void note_long_answer(std::uint64_t fingerprint);
    /// The slot waits for its caller from now on.
    void begin_wait(ticket_id ticket);
    /// The caller sent or took this many bytes.
    void end_wait(ticket_id ticket, std::size_t bytes);
    /// The loan has ended; ignored for a slot that was not lent.
    void end(ticket_id ticket);
    /// A request came that needs no loan.
    void note_other_request() { last_other_request_.store(clock_.now(), std::memory_order_relaxed); }
    /// Returns a slot that must be reclaimed, once; empty when `waiting` requests for one of `slots` slots
    /// are no reason for it.
    std::optional<reclaimed_slot> reclaim(std::uint32_t slots, std::size_t waiting);
    /// Returns true when another slot may be lent, and counts a refusal otherwise.
    bool try_admit(std::uint32_t slots);

    // Queries.
    [[nodiscard]] bool empty() const { return count_.load(std::memory_order_relaxed) == 0; }
    /// True when a request with this fingerprint needed a loan for its answer lately.
    [[nodiscard]] bool expects_long_answer(std::uint64_t fingerprint) const;
    /// True when a slot lent to the caller was reclaimed lately.
    [[nodiscard]] bool gave_way(caller_id caller) const;
    [[nodiscard]] slot_loan_load load() const;

private:
    struct loan {
        caller_id caller = 0;
        std::uint32_t waits = 0;  ///< A body and an early answer may wait at the same time.
        steady_time waiting_since{};
        std::chrono::nanoseconds waited{0};
        std::chrono::nanoseconds overdue{0};  ///< Part of `waited` that the bytes moved do not justify.
        bool reclaimed = false;
    };
    /// Order in which slots are reclaimed.
    struct claim {
        bool slow = false;
        std::uint32_t slots_of_caller = 0;
        std::chrono::nanoseconds waited{0};

        auto operator<=>(const claim&) const = default;
    };

    [[nodiscard]] std::uint32_t lendable(std::uint32_t slots) const;
    [[nodiscard]] bool others_ask() const;
    [[nodiscard]] std::uint32_t lent_locked(std::optional<caller_id> caller = std::nullopt) const;
    [[nodiscard]] std::optional<claim> claim_on(const loan& entry, bool over_share, steady_time now) const;

    const time_source& clock_;
    const slot_loan_options options_;
    std::atomic<std::size_t> count_{0};
    std::atomic<steady_time> last_other_request_{steady_time{}};
    mutable std::mutex mutex_;
    absl::flat_hash_map<ticket_id, loan> loans_;
    recent_set<caller_id> gave_way_;
    recent_set<std::uint64_t> long_answers_;
    std::uint64_t refused_ = 0;
    std::array<std::uint64_t, reclaim_reason_count> reclaimed_{};
};

}  // namespace teaselpitch
