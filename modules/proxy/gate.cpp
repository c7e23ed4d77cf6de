#include "modules/proxy/gate.h"

#include <boost/asio/this_coro.hpp>
#include <utility>

#include "modules/proxy/answer_observer.h"

namespace teaselpitch {
namespace {

constexpr std::string_view no_retry_budget_reason = "the retry budget of the target is used up";

run_verdict run_verdict_of(const exchange_result& result, unsigned status) {
    constexpr unsigned first_client_error = 400;
    constexpr unsigned first_server_error = 500;
    switch (result.error) {
        case error_kind::none:
            if (status >= first_server_error) {
                return run_verdict::failure;
            }
            return status < first_client_error ? run_verdict::success : run_verdict::neutral;
        case error_kind::outcome_unknown:
        case error_kind::answer_broken:
        case error_kind::target_timeout:
            return run_verdict::failure;
        default:
            return run_verdict::neutral;
    }
}

/// Releases a slot on every exit path, also when the exchange is cancelled.
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

    /// Marks the run as finished and not cancelled, so that its duration counts as a service time.
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
    // Static, because the permission must outlive the coroutine, which stores only a reference.
    static const write_permission always_permitted = [] { return true; };
    return exchange_with_permission(head, body, writer, always_permitted);
}

awaitable<exchange_result> gate::exchange_with_permission(const request_head& head, body_reader& body,
                                                          response_writer& writer,
                                                          const write_permission& permission) {
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
        co_return refuse(head, target.get(), error_kind::target_suspect,
                         "the target failed its latest requests", std::chrono::milliseconds{0});
    }
    const bool may_be_retry = head.is_retry || head.inherited_retry_probability > 0;
    if (may_be_retry && hooks_.has_retry_budget && !hooks_.has_retry_budget(head, *target)) {
        co_return refuse(head, target.get(), error_kind::retry_limited, no_retry_budget_reason,
                         std::chrono::milliseconds{0});
    }
    co_return co_await admit_and_run(target, head, body, writer, permission);
}

awaitable<exchange_result> gate::admit_and_run(const std::shared_ptr<guarded_target>& target,
                                               const request_head& head, body_reader& body,
                                               response_writer& writer, const write_permission& permission) {
    const ticket_id ticket = tickets_.fetch_add(1, std::memory_order_relaxed);
    const auto executor = co_await boost::asio::this_coro::executor;
    // Registers before the offer, because another shard may admit the ticket immediately.
    waiter_table<admission_event>::registration admission(target->waiters(), ticket, executor);
    const steady_time offered_at = clock_.now();
    const admission_request request{.deadline = head.deadline,
                                    .objective = head.objective,
                                    .rank = head.rank,
                                    .work_class = head.work_class,
                                    .account = head.account,
                                    .may_queue = head.may_queue};
    const offer_result offered = target->has_backlog() ? target->offer(ticket, request, make_work_key(head))
                                                       : target->offer(ticket, request);
    if (offered.outcome == offer_outcome::refused) {
        co_return refuse(head, target.get(), offered.error, offered.reason, offered.retry_after);
    }
    slot_guard slot(*target, ticket);
    if (offered.outcome == offer_outcome::queued) {
        const admission_event event = co_await admission.wait();
        if (event) {
            co_return refuse(head, target.get(), event->error, event->reason, event->retry_after);
        }
    }
    const gate_run started{head, *target, ticket};
    exchange_result result = co_await run(*target, started, body, writer, permission);
    slot.set_finished();
    if (result.load && target->has_backlog()) {
        result.load->gate_time =
            std::chrono::duration_cast<std::chrono::microseconds>(clock_.now() - offered_at);
    }
    co_return result;
}

awaitable<exchange_result> gate::run(guarded_target& target, const gate_run& started, body_reader& body,
                                     response_writer& writer, const write_permission& permission) {
    const steady_time begin = clock_.now();
    if (begin >= started.head.deadline) {
        co_return refuse(started.head, &started.target, error_kind::deadline_expired,
                         "the deadline passed in the queue", std::chrono::milliseconds{0});
    }
    if (hooks_.count_arrival && !hooks_.count_arrival(started.head, started.target)) {
        co_return refuse(started.head, &started.target, error_kind::retry_limited, no_retry_budget_reason,
                         std::chrono::milliseconds{0});
    }
    answer_observer observer(writer, clock_);
    hooks_.run_started(started);
    exchange_result result;
    try {
        result = co_await hooks_.send(started.target, started.head, body, observer, permission);
    } catch (...) {
        result = failed_exchange(error_kind::cancelled, "the caller cancelled the request");
        hooks_.run_ended({started, result, observer.status(), clock_.now() - begin});
        throw;
    }
    const steady_time head_time = observer.head_time().value_or(clock_.now());
    hooks_.run_ended({started, result, observer.status(), head_time - begin});
    const run_verdict verdict = run_verdict_of(result, observer.status());
    target.on_run_end(started.ticket, verdict, head_time - begin);
    // Reported after run_ended(), so that the load report includes the outcome of this run.
    result.load = target.report();
    if (target.has_backlog() && verdict == run_verdict::success) {
        result.load->run_time = std::chrono::duration_cast<std::chrono::microseconds>(head_time - begin);
    }
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
