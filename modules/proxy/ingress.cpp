#include "modules/proxy/ingress.h"

#include <algorithm>
#include <utility>

#include "modules/proxy/answer_observer.h"
#include "servers/health/crash_quarantine.h"

namespace teaselpitch {
namespace {

/// Part of a host and path that is shown in answers, logs and records.
constexpr std::size_t max_shown_bytes = 256;

std::string describe_attempt(const route_choice& choice, const exchange_result& result) {
    std::string line = "target=" + (choice.target.name.empty() ? "(holder)" : choice.target.name);
    line += " node=" + choice.node + " chosen_by=" + choice.reason;
    line += " error=" + std::string(get_error_answer(result.error).name);
    if (result.answer_status != 0) {
        line += " status=" + std::to_string(result.answer_status);
    }
    line += " execution=" + std::string(to_string(result.execution));
    if (!result.detail.empty()) {
        line += " detail=" + result.detail;
    }
    return line;
}

// The result that the caller gets must be true for all attempts. When an earlier attempt may have run, a
// later attempt that failed as not run does not make the whole request not run.
exchange_result combine_results(std::optional<exchange_result> earlier, exchange_result latest) {
    const bool earlier_may_have_run = earlier && earlier->execution != execution_state::not_run;
    if (earlier_may_have_run && latest.execution == execution_state::not_run) {
        return std::move(*earlier);
    }
    return latest;
}

exchange_result make_refusal_result(const refusal& refused) {
    exchange_result result = failed_exchange(refused.error, refused.detail);
    if (refused.retry_after) {
        result.retry_after = refused.retry_after;
    }
    return result;
}

}  // namespace

ingress::ingress(const time_source& clock, ingress_options options, ingress_hooks hooks)
    : clock_(clock), options_(options), hooks_(std::move(hooks)) {}

awaitable<exchange_result> ingress::exchange(const request_head& head, body_reader& body,
                                             response_writer& writer) {
    const steady_time start = clock_.now();
    request_head routed = head;
    routed.caller_service = options_.caller_service;
    replayable_body replay(body, options_.replay_bytes);
    answer_observer observer(writer, clock_);
    // No server can close this holder: its request has been sent when it holds anything.
    memory_account account(options_.memory, nullptr);
    buffered_answer answer(observer, options_.max_buffered_answer_bytes, &account);
    exchange_progress state{.received = head,
                            .search = target_search(options_.free_slot_hops, options_.max_hops)};
    exchange_result result = co_await route_and_attempt(routed, replay, answer, state);
    if (answer.nothing_sent() && (answer.is_complete() || answer.has_fallback())) {
        result = co_await deliver(answer, std::move(result));
    }
    const unsigned status =
        result.error == error_kind::none ? observer.status() : get_error_answer(result.error).http_status;
    hooks_.exchange_ended({routed, result, status, state.attempts, clock_.now() - start});
    co_return result;
}

awaitable<exchange_result> ingress::deliver(buffered_answer& answer, exchange_result result) {
    const absl::Status written = co_await answer.deliver();
    if (!written.ok()) {
        result = failed_exchange(error_kind::cancelled, "the answer could not be written to the caller");
    } else if (result.error != error_kind::none) {
        // A later attempt failed without an answer, so the caller gets the failure answer of an earlier
        // target.
        result.error = error_kind::none;
        result.execution = execution_state::run;
    }
    result.head_written = true;
    co_return result;
}

awaitable<exchange_result> ingress::route_and_attempt(request_head& head, replayable_body& body,
                                                      buffered_answer& answer, exchange_progress& state) {
    if (hooks_.check_ready) {
        const refusal not_ready = hooks_.check_ready();
        if (not_ready.error != error_kind::none) {
            co_return make_refusal_result(not_ready);
        }
    }
    const std::optional<route_decision> route = hooks_.find_route(head);
    if (!route) {
        const std::string shown = (head.host + head.path).substr(0, max_shown_bytes);
        co_return failed_exchange(error_kind::no_route, "no route for " + shown);
    }
    head.service = route->service;
    head.non_idempotent = route->non_idempotent;
    head.rank = route->rank;
    head.work_class = route->work_class;
    head.inherited_retry_probability = route->inherited_retry;
    state.route = *route;
    const refusal unauthenticated = check_account(state, head);
    if (unauthenticated.error != error_kind::none) {
        co_return make_refusal_result(unauthenticated);
    }
    const steady_time arrival = clock_.now();
    const auto timeout = route->timeout.count() > 0 ? route->timeout : options_.default_timeout;
    head.deadline = std::min(head.deadline, arrival + timeout);
    if (route->objective.count() > 0) {
        head.objective = arrival + route->objective;
    }
    state.max_sends = route->attempts;
    if (hooks_.admit_while_stopping) {
        const refusal stopping = hooks_.admit_while_stopping(head);
        if (stopping.error != error_kind::none) {
            co_return make_refusal_result(stopping);
        }
    }
    if (head.has_body) {
        const absl::Status read_status = co_await body.read_ahead();
        if (!read_status.ok()) {
            const bool too_large = absl::IsResourceExhausted(read_status);
            co_return failed_exchange(too_large ? error_kind::body_too_large : error_kind::malformed_request,
                                      std::string(read_status.message()));
        }
        head.body_arriving = !body.is_complete();
    }
    head.fingerprint = request_fingerprint(head, body.buffered());
    const refusal refused = hooks_.admit(head);
    if (refused.error != error_kind::none) {
        co_return make_refusal_result(refused);
    }
    co_return co_await run_within_quota(head, body, answer, state);
}

awaitable<exchange_result> ingress::run_within_quota(request_head& head, replayable_body& body,
                                                     buffered_answer& answer, exchange_progress& state) {
    const account_quota quota =
        hooks_.quota_of && !head.account.empty() ? hooks_.quota_of(head) : account_quota{};
    if (!quota.is_limited()) {
        co_return co_await run_attempts(head, body, answer, state);
    }
    const quota_admission admission = co_await hooks_.admit_account(head, quota);
    if (admission.refused.error != error_kind::none) {
        co_return make_refusal_result(admission.refused);
    }
    exchange_result result = co_await run_attempts(head, body, answer, state);
    if (state.sends == 0) {
        hooks_.return_token(head, admission.token_expires_at);
    }
    co_return result;
}

refusal ingress::check_account(const exchange_progress& state, request_head& head) const {
    return hooks_.check_account ? hooks_.check_account(state.received, state.route, head) : refusal{};
}

// A request that still waits in a queue when its node is killed gets no answer, so a stopping node limits the
// deadline.
void ingress::cap_deadline_at_shutdown(request_head& head) const {
    const std::optional<steady_time> stop_deadline =
        hooks_.answer_deadline ? hooks_.answer_deadline() : std::nullopt;
    if (stop_deadline) {
        head.deadline = std::min(head.deadline, *stop_deadline);
    }
}

awaitable<exchange_result> ingress::run_attempts(request_head& head, replayable_body& body,
                                                 buffered_answer& answer, exchange_progress& state) {
    std::optional<exchange_result> last;
    while (true) {
        cap_deadline_at_shutdown(head);
        if (clock_.now() >= head.deadline) {
            co_return last
                ? std::move(*last)
                : failed_exchange(error_kind::deadline_expired, "the deadline passed at the ingress");
        }
        const refusal withdrawn = check_account(state, head);
        if (withdrawn.error != error_kind::none) {
            co_return combine_results(std::move(last), make_refusal_result(withdrawn));
        }
        head.may_queue = state.search.may_queue();
        head.last_resort = state.search.is_last_resort();
        const choice_or_refusal<route_choice> chosen = hooks_.choose(head, state.search.excluded());
        if (!chosen.choice) {
            if (state.search.relax_exclusions()) {
                continue;
            }
            // The failure of an earlier attempt is more informative than the lack of a further target.
            co_return last ? std::move(*last) : make_refusal_result(chosen.refused);
        }
        exchange_result result = co_await run_attempt(*chosen.choice, head, body, answer, state);
        const bool try_again = may_attempt_again(head, result, body, answer, state);
        last = combine_results(std::move(last), std::move(result));
        if (!try_again) {
            co_return std::move(*last);
        }
        answer.store_fallback();
        body.rewind();
    }
}

awaitable<exchange_result> ingress::run_attempt(const route_choice& choice, const request_head& head,
                                                replayable_body& body, buffered_answer& answer,
                                                exchange_progress& state) {
    request_head attempt = head;
    attempt.target = choice.target;
    attempt.is_retry = state.reached_target;
    attempt.last_resort = attempt.last_resort || choice.suspect;
    const steady_time start = clock_.now();
    exchange_result result = co_await hooks_.dispatch(choice, attempt, body, answer);
    result.answer_status = answer.status();
    // An answer that is still buffered can be replaced by another attempt.
    result.head_written = result.head_written && !answer.nothing_sent();
    state.sends += result.execution == execution_state::not_run ? 0 : 1;
    state.reached_target = state.reached_target || reached_target(result);
    state.search.on_attempt_end(choice.target.name, result);
    state.attempts.push_back(describe_attempt(choice, result));
    hooks_.attempt_ended(
        {attempt, choice, result, static_cast<std::uint32_t>(state.attempts.size()), clock_.now() - start});
    co_return result;
}

bool ingress::may_attempt_again(const request_head& head, const exchange_result& result,
                                const replayable_body& body, const buffered_answer& answer,
                                const exchange_progress& state) const {
    const bool succeeded = result.error == error_kind::none && !is_server_error_answer(result);
    if (succeeded || !answer.nothing_sent() || !body.can_replay() || state.sends >= state.max_sends ||
        state.search.exhausted()) {
        return false;
    }
    return hooks_.may_retry(head, result, std::max(state.sends, 1U));
}

std::uint64_t request_fingerprint(const request_head& head, std::span<const std::byte> body_prefix) {
    return compute_fingerprint({.service = head.service,
                                .method = head.method,
                                .path = head.path,
                                .account = head.account,
                                .body = body_prefix});
}

}  // namespace teaselpitch
