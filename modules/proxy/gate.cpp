#include "modules/proxy/gate.h"

#include <algorithm>
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
            target_.release(ticket_, waited_for_caller_);
        } else {
            target_.cancel(ticket_);
        }
    }

    /// Marks the run as finished and not cancelled, so that its duration counts as a service time.
    void set_finished(std::chrono::nanoseconds waited_for_caller) {
        finished_ = true;
        waited_for_caller_ = waited_for_caller;
    }

private:
    guarded_target& target_;
    const ticket_id ticket_;
    bool finished_ = false;
    std::chrono::nanoseconds waited_for_caller_{0};
};

/// Added to the rank of a caller that gave way lately, so that it runs after the requests of all others.
constexpr std::uint32_t gave_way_rank = 1'000;

caller_id caller_of(const request_head& head) {
    return head.account.empty() ? head.caller : static_cast<caller_id>(stable_hash(head.account));
}

exchange_result reclaimed_result(reclaim_reason reason, bool head_written) {
    exchange_result result = failed_exchange(
        error_kind::caller_too_slow, reason == reclaim_reason::slow_caller
                                         ? "the slot waited for the caller while others waited for the slot"
                                         : "slow callers held more slots than may be lent");
    result.head_written = head_written;
    return result;
}

}  // namespace

gate::gate(const time_source& clock, std::atomic<ticket_id>& tickets, gate_hooks hooks, gate_options options)
    : clock_(clock), tickets_(tickets), hooks_(std::move(hooks)), options_(options) {}

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
    const caller_id caller = caller_of(head);
    const bool needs_loan = head.body_arriving || target->loans().expects_long_answer(head.fingerprint);
    if (!needs_loan) {
        target->loans().note_other_request();
    } else if (!target->loans().try_admit(target->load().slots)) {
        co_return refuse(head, target.get(), error_kind::overloaded,
                         "the slots that may wait for callers are taken", std::chrono::milliseconds{0});
    }
    const steady_time offered_at = clock_.now();
    const admission_request request{
        .deadline = head.deadline,
        .objective = head.objective,
        .rank = head.rank + (target->loans().gave_way(caller) ? gave_way_rank : 0),
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
    slot_loan loan(*target, ticket, caller, clock_, executor);
    if (needs_loan) {
        loan.start();
    }
    exchange_result result = co_await run(*target, started, loan, body, writer, permission);
    if (!loan.reclaimed()) {
        slot.set_finished(loan.waited());
    }
    if (result.load && target->has_backlog()) {
        result.load->gate_time =
            std::chrono::duration_cast<std::chrono::microseconds>(clock_.now() - offered_at);
    }
    co_return result;
}

awaitable<exchange_result> gate::run(guarded_target& target, const gate_run& started, slot_loan& loan,
                                     body_reader& body, response_writer& writer,
                                     const write_permission& permission) {
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
    lent_body arriving(body, loan);
    lent_answer answer(observer, loan, options_.held_answer_bytes,
                       [&] { target.loans().note_long_answer(started.head.fingerprint); });
    body_reader& source = started.head.body_arriving ? static_cast<body_reader&>(arriving) : body;
    hooks_.run_started(started);
    exchange_result result;
    try {
        result = co_await hooks_.send(started.target, started.head, source, answer, permission);
    } catch (...) {
        result = failed_exchange(error_kind::cancelled, "the caller cancelled the request");
        hooks_.run_ended({started, result, observer.status(), clock_.now() - begin});
        throw;
    }
    if (loan.reclaimed() && result.error != error_kind::none) {
        result = reclaimed_result(*loan.reclaimed(), result.head_written);
    }
    const steady_time head_time = observer.head_time().value_or(clock_.now());
    // The time that the target took: it is not slow because its caller is.
    const std::chrono::nanoseconds latency = std::max(
        head_time - begin - answer.waited_before_head().value_or(loan.waited()), std::chrono::nanoseconds{0});
    hooks_.run_ended({started, result, observer.status(), latency});
    const run_verdict verdict = run_verdict_of(result, observer.status());
    target.on_run_end(started.ticket, verdict, latency);
    // Reported after run_ended(), so that the load report includes the outcome of this run.
    result.load = target.report();
    if (target.has_backlog() && verdict == run_verdict::success) {
        result.load->run_time = std::chrono::duration_cast<std::chrono::microseconds>(latency);
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
