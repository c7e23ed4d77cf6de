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

/// Identifies a request at a gate. Chosen by the caller of the queue; must not be reused while in use.
using ticket_id = std::uint64_t;

struct admission_options {
    std::uint32_t slots = 4;                  ///< Concurrent requests that the target accepts.
    std::size_t max_queued = 64;              ///< Requests.
    std::chrono::milliseconds max_wait{200};  ///< Maximum wait in the queue (queue_ms of the service row).
    std::chrono::milliseconds initial_service_time{
        20};  ///< Estimate used until the first request has finished.
    /// Within a rank, lets accounts take turns by the work that they hold (see order_by_account()). Has no
    /// effect while no request with an account is queued.
    bool fair_accounts = false;
};

/// Properties of a request that determine its admission and its place in the queue.
struct admission_request {
    steady_time deadline{};
    steady_time objective{};       ///< Latency objective as a point in time; the clock's epoch means none.
    std::uint32_t rank = 0;        ///< Requests with a lower number run first.
    std::uint64_t work_class = 0;  ///< Requests of a class have similar service times; 0 means unknown.
    std::string_view account{};
    bool may_queue = true;  ///< When false, the request is refused if no slot is free.
};

enum class offer_outcome : std::uint8_t { admitted, queued, refused };

/// A queued request that was removed without being run; the caller must answer it as refused.
struct dropped_ticket {
    ticket_id ticket = 0;
    error_kind error = error_kind::none;  ///< deadline_expired, overloaded or target_leaving.
    std::string_view reason{};            ///< One sentence with static lifetime.
    std::chrono::milliseconds retry_after{0};
};

struct offer_result {
    offer_outcome outcome = offer_outcome::refused;
    error_kind error = error_kind::none;  ///< Set when refused.
    std::string_view reason{};            ///< One sentence with static lifetime; set when refused.
    std::chrono::milliseconds retry_after{0};
    std::vector<dropped_ticket> dropped{};  ///< Queued requests that expired or were displaced by this one.
};

/// State changes of other requests. A ticket appears in one of the two lists at most, and only once.
struct admission_change {
    std::vector<ticket_id> admitted;
    std::vector<dropped_ticket> dropped;
};

/// Whether a gate accepts new requests.
enum class admission_state : std::uint8_t {
    open,
    leaving,  ///< Refuses new requests; running and queued requests may still finish.
    drained,  ///< Leaving, with no running or queued request.
};

struct admission_load {
    std::uint32_t slots = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::chrono::nanoseconds expected_wait{0};      ///< For a request at the end of the queue.
    std::chrono::nanoseconds mean_service_time{0};  ///< Moving average of the time from admission to release.
    admission_state state = admission_state::open;
};

/// Admits requests to one target, up to its number of slots, and queues a few more, ordered by rank and then
/// by the time by which each must start.
///
/// Designed for demand beyond capacity, with several ranks of requests whose service times differ by a factor
/// of ten and which include calls that running requests wait for. A request is queued only when it and every
/// request of the same or a higher rank behind it can still start in time; requests of lower ranks that no
/// longer can are refused at once. Service times are estimated per work class, so that short calls are not
/// assumed to take as long as the rest. A request that would miss its objective may wait behind all others of
/// its rank. When the queue is full, a request replaces one of a lower rank; within a rank, a request of an
/// account with few queued requests replaces one of the account with the most, so that no account can fill
/// the queue. With fair_accounts, the turns of the accounts replace both of these rules. Thread-safe; each
/// call holds one lock briefly.
class admission_queue {
public:
    admission_queue(const time_source& clock, const admission_options& options);

    /// Requests a slot. A queued ticket is later cancelled or appears in exactly one admission_change or in
    /// offer_result::dropped.
    offer_result offer(ticket_id ticket, const admission_request& request);
    /// Requests a slot without rank, objective and work class.
    offer_result offer(ticket_id ticket, steady_time deadline, std::string_view account) {
        return offer(ticket, {.deadline = deadline, .account = account});
    }

    /// Frees the slot of an admitted ticket whose request has ended. The time for which the slot waited for
    /// its caller does not count towards the service time estimates.
    admission_change release(ticket_id ticket, std::chrono::nanoseconds waited_for_caller);
    admission_change release(ticket_id ticket) { return release(ticket, std::chrono::nanoseconds{0}); }

    /// Removes a ticket in any state. Its run time does not count towards the service time estimates.
    admission_change cancel(ticket_id ticket);

    /// Drops the queued requests that cannot start in time. Must be called every few milliseconds.
    admission_change on_tick();

    /// Changes the number of slots. Running requests beyond a reduced number are not interrupted.
    admission_change set_slots(std::uint32_t slots);

    /// Changes the maximum wait of requests that are offered later.
    void set_max_wait(std::chrono::milliseconds max_wait);

    /// Refuses all new requests from now on.
    void set_leaving();

    [[nodiscard]] admission_load load() const;

    /// Returns the latest start of the request at the head of the queue; empty when the queue is empty.
    [[nodiscard]] std::optional<steady_time> next_expiry() const;

private:
    struct queued_request {
        steady_time start_by;      ///< Sort key within a rank; not after latest_start.
        steady_time latest_start;  ///< The request is dropped when it has not started by then.
        steady_time deadline;
        std::uint64_t account = 0;
        ticket_id ticket = 0;
        std::uint64_t work_class = 0;
        std::uint32_t rank = 0;
        bool misses_objective = false;  ///< Queued behind all other requests of its rank.
        bool has_account = false;
    };
    struct running_request {
        steady_time started_at;
        std::uint64_t work_class = 0;
        std::uint64_t account = 0;
    };
    struct service_time {
        double mean_ns = 0;
        double deviation_ns = 0;
    };

    [[nodiscard]] bool has_free_slot() const { return running_.size() < slots_; }
    [[nodiscard]] std::chrono::nanoseconds estimate_wait(std::size_t position) const;
    [[nodiscard]] const service_time& service_time_of(std::uint64_t work_class) const;
    [[nodiscard]] std::chrono::nanoseconds required_service_time(std::uint64_t work_class) const;
    [[nodiscard]] bool may_finish_in_time(const admission_request& request, steady_time now) const;
    [[nodiscard]] static bool precedes(const queued_request& left, const queued_request& right);
    [[nodiscard]] std::size_t find_position(const queued_request& entry) const;
    [[nodiscard]] bool can_enqueue(const queued_request& entry, steady_time now) const;
    [[nodiscard]] std::optional<std::size_t> find_displaceable(const queued_request& entry) const;
    [[nodiscard]] queued_request make_queued_request(ticket_id ticket, const admission_request& request,
                                                     steady_time now) const;
    std::vector<dropped_ticket> remove_outranked(steady_time now);
    [[nodiscard]] bool takes_turns(const queued_request* entry = nullptr) const;
    [[nodiscard]] std::vector<std::size_t> order_of_turns(steady_time now) const;
    [[nodiscard]] std::size_t turn_of(ticket_id ticket, steady_time now) const;
    [[nodiscard]] std::size_t find_ticket(ticket_id ticket) const;
    offer_result enqueue_by_turns(queued_request entry, steady_time now);
    void remove_late_turns(std::size_t first_turn, steady_time now, std::vector<dropped_ticket>& dropped);
    [[nodiscard]] dropped_ticket make_dropped(const queued_request& removed, std::string_view reason) const;
    [[nodiscard]] offer_result make_refusal(error_kind error, std::string_view reason) const;

    offer_result enqueue(const queued_request& entry, steady_time now);
    void insert(const queued_request& entry);
    queued_request remove_at(std::size_t position);
    std::vector<dropped_ticket> remove_overdue(steady_time now);
    void update_service_time(std::uint64_t work_class, std::chrono::nanoseconds sample);
    admission_change fill_free_slots(steady_time now);

    const time_source& clock_;
    const std::size_t max_queued_;
    const bool fair_accounts_;
    mutable std::mutex mutex_;
    std::chrono::nanoseconds max_wait_;
    std::uint32_t slots_;
    bool leaving_ = false;
    service_time overall_service_time_;
    absl::flat_hash_map<std::uint64_t, service_time> service_time_by_class_;
    absl::flat_hash_map<ticket_id, running_request> running_;
    std::vector<queued_request> queue_;  ///< In reverse order: the next request to run is last.
    absl::flat_hash_map<std::uint64_t, std::uint32_t> queued_by_account_;
    std::size_t queued_with_account_ = 0;
};

}  // namespace teaselpitch
