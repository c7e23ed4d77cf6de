#include "modules/proxy/guarded_target.h"

#include <utility>

namespace teaselpitch {

guarded_target::guarded_target(const time_source& clock, target_identity identity, std::string service,
                               endpoint address, const admission_options& options)
    : identity_(std::move(identity)),
      service_(std::move(service)),
      address_(std::move(address)),
      queue_(clock, options) {}

offer_result guarded_target::offer(ticket_id ticket, const admission_request& request) {
    offer_result result = queue_.offer(ticket, request);
    for (const dropped_ticket& dropped : result.dropped) {
        waiters_.notify(dropped.ticket, dropped);
    }
    return result;
}

void guarded_target::release(ticket_id ticket) {
    notify_waiters(queue_.release(ticket));
}

void guarded_target::cancel(ticket_id ticket) {
    notify_waiters(queue_.cancel(ticket));
}

void guarded_target::on_tick() {
    notify_waiters(queue_.on_tick());
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
    return {.target = identity_.name,
            .slots = load.slots,
            .running = load.running,
            .queued = load.queued,
            .outlier_score = outlier_score_.load(std::memory_order_relaxed),
            .leaving = load.state != admission_state::open,
            .suspect = suspect_.load(std::memory_order_relaxed)};
}

void guarded_target::notify_waiters(const admission_change& change) {
    for (const ticket_id ticket : change.admitted) {
        waiters_.notify(ticket, std::nullopt);
    }
    for (const dropped_ticket& dropped : change.dropped) {
        waiters_.notify(dropped.ticket, dropped);
    }
}

}  // namespace teaselpitch
