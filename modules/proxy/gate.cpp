#include "modules/proxy/gate.h"

#include <boost/asio/this_coro.hpp>
#include <utility>

#include "modules/proxy/answer_observer.h"

namespace teaselpitch {
namespace {

constexpr std::string_view repeat_reason = "the budget of repeats is used up at this target";

/// Gives a slot back on every way out, also when the exchange is cancelled.
class slot_guard {
public:
    slot_guard(guarded_target& target, ticket_id ticket) : target_(target), ticket_(ticket) {}
    slot_guard(const slot_guard&) = delete;
    slot_guard& operator=(const slot_guard&) = delete;
    ~slot_guard() {
        if (finished_) {
            target_.release(ticket_);
        } else {
            target_.cancel(ticket_);
        }
    }

    /// The run ended by itself, so that its time counts as a service time.
    void set_finished() { finished_ = true; }

private:
    guarded_target& target_;
    const ticket_id ticket_;
    bool finished_ = false;
};

}  // namespace

gate::gate(const time_source& clock, std::atomic<ticket_id>& tickets, gate_hooks hooks)
    : clock_(clock), tickets_(tickets), hooks_(std::move(hooks)) {}

awaitable<exchange_result> gate::exchange(const request_head& head, body_reader& body,
                                          response_writer& writer) {
    // The permission must outlive the coroutine, which only keeps a reference.
    static const write_permission always = [] { return true; };
    return exchange_if(head, body, writer, always);
}

awaitable<exchange_result> gate::exchange_if(const request_head& head, body_reader& body,
                                             response_writer& writer, const write_permission& permission) {
    const std::shared_ptr<guarded_target> target = hooks_.find_target(head.target.name);
    if (!target || target->identity().incarnation != head.target.incarnation) {
        co_return refuse(head, nullptr, error_kind::no_target, "this node does not guard the target",
                         std::chrono::milliseconds{0});
    }
    if (hooks_.is_quarantined(head)) {
        co_return refuse(head, target.get(), error_kind::quarantined,
                         "the request's fingerprint is quarantined", std::chrono::milliseconds{0});
    }
    if (hooks_.is_suspect && !head.last_resort && hooks_.is_suspect(head, *target)) {
        co_return refuse(head, target.get(), error_kind::target_suspect, "the target failed its latest work",
                         std::chrono::milliseconds{0});
    }
    if (head.is_retry && hooks_.may_repeat && !hooks_.may_repeat(head, *target)) {
        co_return refuse(head, target.get(), error_kind::repeat_limited, repeat_reason,
                         std::chrono::milliseconds{0});
    }
    co_return co_await admit_and_run(target, head, body, writer, permission);
}

awaitable<exchange_result> gate::admit_and_run(const std::shared_ptr<guarded_target>& target,
                                               const request_head& head, body_reader& body,
                                               response_writer& writer, const write_permission& permission) {
    const ticket_id ticket = tickets_.fetch_add(1, std::memory_order_relaxed);
    const auto executor = co_await boost::asio::this_coro::executor;
    // The place is taken before the offer, because another shard may admit the ticket at once.
    waiter_table<admission_event>::registration place(target->waiters(), ticket, executor);
    const offer_result offered = target->offer(ticket, {.deadline = head.deadline,
                                                        .objective = head.objective,
                                                        .rank = head.rank,
                                                        .work_class = head.work_class,
                                                        .account = head.account,
                                                        .may_queue = head.may_queue});
    if (offered.outcome == offer_outcome::refused) {
        co_return refuse(head, target.get(), offered.error, offered.reason, offered.retry_after);
    }
    slot_guard slot(*target, ticket);
    if (offered.outcome == offer_outcome::queued) {
        const admission_event event = co_await place.wait();
        if (event) {
            co_return refuse(head, target.get(), event->error, event->reason, event->retry_after);
        }
    }
    const gate_run started{head, *target, ticket};
    exchange_result result = co_await run(started, body, writer, permission);
    slot.set_finished();
    co_return result;
}

awaitable<exchange_result> gate::run(const gate_run& started, body_reader& body, response_writer& writer,
                                     const write_permission& permission) {
    const steady_time begin = clock_.now();
    if (begin >= started.head.deadline) {
        co_return refuse(started.head, &started.target, error_kind::deadline_expired,
                         "the deadline passed in the queue", std::chrono::milliseconds{0});
    }
    if (hooks_.count_arrival && !hooks_.count_arrival(started.head, started.target)) {
        co_return refuse(started.head, &started.target, error_kind::repeat_limited, repeat_reason,
                         std::chrono::milliseconds{0});
    }
    answer_observer observer(writer, clock_);
    hooks_.run_started(started);
    exchange_result result;
    try {
        result = co_await hooks_.send(started.target, started.head, body, observer, permission);
    } catch (...) {
        result = failed_exchange(error_kind::cancelled, "the caller went away");
        hooks_.run_ended({started, result, observer.status(), clock_.now() - begin});
        throw;
    }
    const steady_time answered = observer.head_time().value_or(clock_.now());
    hooks_.run_ended({started, result, observer.status(), answered - begin});
    // The report says what the end of this run taught about the target.
    result.load = started.target.report();
    co_return result;
}

exchange_result gate::refuse(const request_head& head, const guarded_target* target, error_kind error,
                             std::string_view detail, std::chrono::milliseconds retry_after) const {
    exchange_result result = failed_exchange(error, detail);
    if (retry_after.count() > 0) {
        result.retry_after = retry_after;
    }
    if (target != nullptr) {
        result.load = target->report();
    }
    hooks_.refused(head, result);
    return result;
}

}  // namespace teaselpitch
