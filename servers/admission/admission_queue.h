#pragma once

#include <absl/container/flat_hash_map.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/error_kind.h"

namespace teaselpitch {

/// Names one request at one gate; chosen by the caller of the queue and never reused while it is live.
using ticket_id = std::uint64_t;

struct admission_options {
    std::uint32_t slots = 4;                             ///< Concurrent requests that the target takes.
    std::size_t max_queued = 64;                         ///< Requests.
    std::chrono::milliseconds max_wait{200};             ///< Longest wait in the queue (queue_ms of the row).
    std::chrono::milliseconds initial_service_time{20};  ///< Used until the first request has finished.
};

/// What the queue needs to know about a request.
struct admission_request {
    steady_time deadline{};
    steady_time objective{};       ///< An answer after this time is late; the clock's epoch for none.
    std::uint32_t rank = 0;        ///< Requests with a lower rank go first.
    std::uint64_t work_class = 0;  ///< Requests of one class take about the same time; 0 for unknown.
    std::string_view account{};
    bool may_queue = true;  ///< Otherwise the request is refused when no slot is free.
};

enum class offer_outcome : std::uint8_t { admitted, queued, refused };

/// A queued request that must be answered as refused; it was not run.
struct dropped_ticket {
    ticket_id ticket = 0;
    error_kind error = error_kind::none;  ///< deadline_expired or overloaded.
    std::string_view reason{};            ///< One sentence with static lifetime.
    std::chrono::milliseconds retry_after{0};
};

struct offer_result {
    offer_outcome outcome = offer_outcome::refused;
    error_kind error = error_kind::none;  ///< Set when refused.
    std::string_view reason{};            ///< One sentence with static lifetime; set when refused.
    std::chrono::milliseconds retry_after{0};
    std::vector<dropped_ticket> dropped{};  ///< Queued requests that were late or made room for this one.
};

/// What changed for other requests: each ticket is in at most one of the two lists and in no later one.
struct admission_change {
    std::vector<ticket_id> admitted;
    std::vector<dropped_ticket> dropped;
};

/// Whether a gate takes new work.
enum class admission_state : std::uint8_t {
    open,
    leaving,  ///< Refuses new work; running and queued requests finish.
    drained,  ///< Leaving, and nothing runs or waits.
};

struct admission_load {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::chrono::nanoseconds expected_wait{0};      ///< Of a request that would join the end of the queue.
    std::chrono::nanoseconds mean_service_time{0};  ///< Recent time from admission to release.
    admission_state state = admission_state::open;
};

/// Admits requests to one target: as many as it has slots, plus a short queue in order of rank, then of the
/// time by which each must start.
///
/// Pattern: demand beyond capacity with several ranks of requests whose work differs by a factor of ten,
/// calls that running requests wait for among them. A request is queued only when it and every request of its
/// rank or a higher one behind it can still start in time; those of lower ranks that no longer can are
/// refused at once. Times of work are learned for each class, so that short calls are not held to be as long
/// as the rest. A request that would miss its objective may wait behind all others of its rank. When there is
/// no room, a request of an account with few queued requests takes the place of one from the account with the
/// most, so that one account cannot fill the queue. Thread-safe; each call holds one lock briefly.
class admission_queue {
public:
    admission_queue(const time_source& clock, const admission_options& options);

    /// Asks for a slot. A queued ticket later appears in exactly one admission_change, or is cancelled.
    offer_result offer(ticket_id ticket, const admission_request& request);
    /// The same without rank, objective and class.
    offer_result offer(ticket_id ticket, steady_time deadline, std::string_view account) {
        return offer(ticket, {.deadline = deadline, .account = account});
    }

    /// Frees the slot of an admitted ticket whose request has ended.
    admission_change release(ticket_id ticket);

    /// Withdraws a ticket in any state. The time that it ran is not taken as a service time.
    admission_change cancel(ticket_id ticket);

    /// Drops the queued requests that cannot start in time; call it every few milliseconds.
    admission_change on_tick();

    /// Changes the number of slots; running requests above a lower number finish.
    admission_change set_slots(std::uint32_t slots);

    /// Changes the longest wait; it applies to requests that are offered later.
    void set_max_wait(std::chrono::milliseconds max_wait);

    /// Refuses all new work from now on.
    void set_leaving();

    [[nodiscard]] admission_load load() const;

    /// The time at which the next queued request expires; empty when the queue is empty.
    [[nodiscard]] std::optional<steady_time> next_expiry() const;

private:
    struct waiting {
        steady_time start_by;      ///< Orders the requests of one rank; at most latest_start.
        steady_time latest_start;  ///< The request is useless when it starts later.
        steady_time deadline;
        std::uint64_t account = 0;
        ticket_id ticket = 0;
        std::uint64_t work_class = 0;
        std::uint32_t rank = 0;
        bool late = false;  ///< It would miss its objective.
    };
    struct running {
        steady_time since;
        std::uint64_t work_class = 0;
    };
    struct service_time {
        double mean_ns = 0;
        double deviation_ns = 0;
    };

    [[nodiscard]] bool has_free_slot() const { return running_.size() < slots_; }
    [[nodiscard]] std::chrono::nanoseconds wait_at(std::size_t position) const;
    [[nodiscard]] const service_time& time_of(std::uint64_t work_class) const;
    [[nodiscard]] std::chrono::nanoseconds safe_service_time(std::uint64_t work_class) const;
    [[nodiscard]] bool can_finish(const admission_request& request, steady_time now) const;
    [[nodiscard]] static bool goes_before(const waiting& left, const waiting& right);
    [[nodiscard]] std::size_t position_of(const waiting& entry) const;
    [[nodiscard]] bool fits(const waiting& entry, steady_time now) const;
    [[nodiscard]] std::optional<std::size_t> displaceable(const waiting& entry) const;
    [[nodiscard]] waiting make_waiting(ticket_id ticket, const admission_request& request,
                                       steady_time now) const;
    std::vector<dropped_ticket> take_displaced(steady_time now);
    [[nodiscard]] offer_result refusal(error_kind error, std::string_view reason) const;

    offer_result enqueue(const waiting& entry, steady_time now);
    void insert(const waiting& entry);
    waiting remove_at(std::size_t position);
    std::vector<dropped_ticket> take_late(steady_time now);
    void learn_service_time(std::uint64_t work_class, std::chrono::nanoseconds sample);
    admission_change refill(steady_time now);

    const time_source& clock_;
    const std::size_t max_queued_;
    mutable std::mutex mutex_;
    std::chrono::nanoseconds max_wait_;
    std::uint32_t slots_;
    bool leaving_ = false;
    service_time all_work_;
    absl::flat_hash_map<std::uint64_t, service_time> work_by_class_;
    absl::flat_hash_map<ticket_id, running> running_;
    std::vector<waiting> queue_;  ///< The next one is last.
    absl::flat_hash_map<std::uint64_t, std::uint32_t> queued_by_account_;
};

}  // namespace teaselpitch
