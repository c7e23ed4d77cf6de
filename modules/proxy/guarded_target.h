#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "core/clock.h"
#include "core/identity.h"
#include "modules/proxy/waiter_table.h"
#include "servers/admission/admission_queue.h"
#include "servers/admission/slot_loans.h"
#include "servers/routing/target_backlog.h"

namespace teaselpitch {

/// Outcome of a queued request: empty when it is admitted, otherwise the reason why it was dropped.
using admission_event = std::optional<dropped_ticket>;

/// A target that this node guards, with its admission queue and the requests that wait in it. With a work
/// estimator, which must outlive the target, the load reports include the expected wait. Thread-safe.
class guarded_target {
public:
    guarded_target(const time_source& clock, target_identity identity, std::string service, endpoint address,
                   const admission_options& options, work_estimator* estimator = nullptr,
                   const slot_loan_options& loan_options = {});

    // Commands.
    /// Offers a request to the queue, and notifies the requests that were dropped in favour of it.
    offer_result offer(ticket_id ticket, const admission_request& request);
    /// Like offer(), for a request whose expected work counts in the backlog.
    offer_result offer(ticket_id ticket, const admission_request& request, const work_key& key);
    /// The target has answered, or failed, after `duration`. The slot is freed by release() or cancel().
    void on_run_end(ticket_id ticket, run_verdict verdict, std::chrono::nanoseconds duration);
    /// Releases the slot of a finished request and notifies the requests that are admitted next. The time for
    /// which the slot waited for its caller does not count as service time.
    void release(ticket_id ticket, std::chrono::nanoseconds waited_for_caller = std::chrono::nanoseconds{0});
    /// Removes a cancelled request, whether it is queued or running.
    void cancel(ticket_id ticket);
    /// Drops requests that waited too long. Must be called every few milliseconds.
    void on_tick();
    void set_slots(std::uint32_t slots);
    void set_max_wait(std::chrono::milliseconds max_wait);
    /// Refuses new requests from now on; running requests finish.
    void set_leaving();
    /// Sets the score that the target's outlier detector computed; it is part of report().
    void set_outlier_score(double outlier_score) {
        outlier_score_.store(outlier_score, std::memory_order_relaxed);
    }
    /// Sets whether the target failed its latest requests.
    void set_suspect(bool suspect) { suspect_.store(suspect, std::memory_order_relaxed); }
    waiter_table<admission_event>& waiters() { return waiters_; }
    slot_loans& loans() { return loans_; }
    /// Notifies the run whose slot is reclaimed.
    waiter_table<reclaim_reason>& reclaims() { return reclaims_; }

    // Queries.
    [[nodiscard]] const target_identity& identity() const { return identity_; }
    [[nodiscard]] const std::string& service() const { return service_; }
    [[nodiscard]] const endpoint& address() const { return address_; }
    [[nodiscard]] admission_load load() const { return queue_.load(); }
    [[nodiscard]] load_report report() const;
    [[nodiscard]] slot_loan_load loan_load() const { return loans_.load(); }
    /// True when the expected work of the requests is estimated.
    [[nodiscard]] bool has_backlog() const { return backlog_.has_value(); }

private:
    /// Reclaims lent slots for the queued requests and for further ones; false when there was none to
    /// reclaim.
    bool reclaim_slots(std::size_t further_requests);
    void notify_waiters(const admission_change& change);
    void forget(ticket_id ticket);

    const target_identity identity_;
    const std::string service_;
    const endpoint address_;
    admission_queue queue_;
    waiter_table<admission_event> waiters_;
    slot_loans loans_;
    waiter_table<reclaim_reason> reclaims_;
    std::optional<target_backlog> backlog_;  ///< Empty without a work estimator.
    std::atomic<double> outlier_score_{0};
    std::atomic<bool> suspect_{false};
};

}  // namespace teaselpitch
