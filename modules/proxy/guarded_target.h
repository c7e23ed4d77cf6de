#pragma once

#include <atomic>
#include <cstdint>
#include <string>
#include <variant>

#include "core/clock.h"
#include "core/identity.h"
#include "modules/proxy/waiter_table.h"
#include "servers/admission/admission_queue.h"

namespace teaselpitch {

/// What a queued request is told: no value when it is admitted, the drop otherwise.
using admission_event = std::optional<dropped_ticket>;

/// One target that this node guards: its admission queue and the requests that wait in it. Thread-safe.
class guarded_target {
public:
    guarded_target(const time_source& clock, target_identity identity, std::string service, endpoint address,
                   const admission_options& options);

    // Commands.
    /// Offers a request and tells the requests that made room for it.
    offer_result offer(ticket_id ticket, const admission_request& request);
    /// Frees the slot of a finished request and tells the next ones.
    void release(ticket_id ticket);
    /// Withdraws a request that was cancelled, in whatever state it is.
    void cancel(ticket_id ticket);
    /// Drops requests that waited too long; called every few milliseconds.
    void on_tick();
    void set_slots(std::uint32_t slots);
    void set_max_wait(std::chrono::milliseconds max_wait);
    /// Refuses new work from now on; work in flight finishes.
    void set_leaving();
    /// The gate's verdict, set by the target's judge.
    void set_badness(double badness) { badness_.store(badness, std::memory_order_relaxed); }
    /// Whether the target failed its latest work.
    void set_suspect(bool suspect) { suspect_.store(suspect, std::memory_order_relaxed); }
    waiter_table<admission_event>& waiters() { return waiters_; }

    // Queries.
    [[nodiscard]] const target_identity& identity() const { return identity_; }
    [[nodiscard]] const std::string& service() const { return service_; }
    [[nodiscard]] const endpoint& address() const { return address_; }
    [[nodiscard]] admission_load load() const { return queue_.load(); }
    [[nodiscard]] load_report report() const;

private:
    void tell(const admission_change& change);

    const target_identity identity_;
    const std::string service_;
    const endpoint address_;
    admission_queue queue_;
    waiter_table<admission_event> waiters_;
    std::atomic<double> badness_{0};
    std::atomic<bool> suspect_{false};
};

}  // namespace teaselpitch
