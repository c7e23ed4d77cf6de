#include "modules/proxy/guarded_target.h"

#include <utility>

namespace teaselpitch {

guarded_target::guarded_target(const time_source& clock, target_identity identity, std::string service,
                               endpoint address, const admission_options& options, work_estimator* estimator,
                               const slot_loan_options& loan_options)
    : identity_(std::move(identity)),
      service_(std::move(service)),
      address_(std::move(address)),
      queue_(clock, options),
      loans_(clock, loan_options) {
    if (estimator != nullptr) {
        backlog_.emplace(clock, *estimator);
    }
}

offer_result guarded_target::offer(ticket_id ticket, const admission_request& request) {
    offer_result result = queue_.offer(ticket, request);
    if (result.outcome != offer_outcome::admitted && !loans_.empty()) {
        const bool refused = result.outcome == offer_outcome::refused;
        if (reclaim_slots(refused ? 1 : 0) && refused && !request.may_queue) {
            // A slot is about to become free, so this gate serves the request sooner than another one.
            admission_request patient = request;
            patient.may_queue = true;
            result = queue_.offer(ticket, patient);
        }
    }
    for (const dropped_ticket& dropped : result.dropped) {
        forget(dropped.ticket);
        waiters_.notify(dropped.ticket, dropped);
    }
    return result;
}

offer_result guarded_target::offer(ticket_id ticket, const admission_request& request, const work_key& key) {
    if (!backlog_) {
        return offer(ticket, request);
    }
    backlog_->on_offered(ticket, key);
    offer_result result = offer(ticket, request);
    if (result.outcome == offer_outcome::admitted) {
        backlog_->on_admitted(ticket);
    } else if (result.outcome == offer_outcome::refused) {
        backlog_->on_removed(ticket);
    }
    return result;
}

void guarded_target::on_run_end(ticket_id ticket, run_verdict verdict, std::chrono::nanoseconds duration) {
    if (backlog_) {
        backlog_->on_run_end(ticket, verdict, duration);
    }
}

void guarded_target::release(ticket_id ticket, std::chrono::nanoseconds waited_for_caller) {
    forget(ticket);
    notify_waiters(queue_.release(ticket, waited_for_caller));
}

bool guarded_target::reclaim_slots(std::size_t further_requests) {
    const admission_load load = queue_.load();
    const std::size_t waiting = load.queued + further_requests;
    bool any = false;
    while (const std::optional<reclaimed_slot> slot = loans_.reclaim(load.slots, waiting)) {
        any = true;
        reclaims_.notify(slot->ticket, slot->reason);
    }
    return any;
}

void guarded_target::cancel(ticket_id ticket) {
    forget(ticket);
    notify_waiters(queue_.cancel(ticket));
}

void guarded_target::on_tick() {
    notify_waiters(queue_.on_tick());
    if (!loans_.empty()) {
        reclaim_slots(0);
    }
}

void guarded_target::set_slots(std::uint32_t slots) {
    notify_waiters(queue_.set_slots(slots));
}

void guarded_target::set_max_wait(std::chrono::milliseconds max_wait) {
    queue_.set_max_wait(max_wait);
}

void guarded_target::set_leaving() {
    queue_.set_leaving();
}

load_report guarded_target::report() const {
    const admission_load load = queue_.load();
    load_report result{.target = identity_.name,
                       .slots = load.slots,
                       .running = load.running,
                       .queued = load.queued,
                       .outlier_score = outlier_score_.load(std::memory_order_relaxed),
                       .leaving = load.state != admission_state::open,
                       .suspect = suspect_.load(std::memory_order_relaxed)};
    if (backlog_) {
        const backlog_report backlog = backlog_->report(load.slots);
        result.expected_wait_ms = backlog.expected_wait_ms;
        result.speed = backlog.speed;
    }
    return result;
}

void guarded_target::forget(ticket_id ticket) {
    if (backlog_) {
        backlog_->on_removed(ticket);
    }
}

void guarded_target::notify_waiters(const admission_change& change) {
    for (const ticket_id ticket : change.admitted) {
        if (backlog_) {
            backlog_->on_admitted(ticket);
        }
        waiters_.notify(ticket, std::nullopt);
    }
    for (const dropped_ticket& dropped : change.dropped) {
        forget(dropped.ticket);
        waiters_.notify(dropped.ticket, dropped);
    }
}

}  // namespace teaselpitch
