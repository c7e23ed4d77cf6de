#include "core/error_kind.h"

#include <algorithm>
#include <array>
#include <cstddef>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr auto not_run = execution_state::not_run;
constexpr auto unknown = execution_state::unknown;

constexpr std::array<error_answer, 34> answers{{
    {error_kind::none, "none", 200, execution_state::run, retry_advice::never, 0s, "The request was run."},
    {error_kind::malformed_request, "malformed_request", 400, not_run, retry_advice::never, 0s,
     "The request is not valid HTTP/1.1."},
    {error_kind::header_too_large, "header_too_large", 431, not_run, retry_advice::never, 0s,
     "The request header exceeds the limit."},
    {error_kind::body_too_large, "body_too_large", 413, not_run, retry_advice::never, 0s,
     "The request body exceeds the limit."},
    {error_kind::no_route, "no_route", 404, not_run, retry_advice::never, 0s,
     "No route matches the host and path."},
    {error_kind::no_target, "no_target", 503, not_run, retry_advice::later, 1s,
     "The service has no target that can accept requests."},
    {error_kind::account_limited, "account_limited", 429, not_run, retry_advice::later, 1s,
     "The account is over its request rate."},
    {error_kind::quota_unavailable, "quota_unavailable", 503, not_run, retry_advice::later, 1s,
     "The account's quota can't be checked at the moment."},
    {error_kind::overloaded, "overloaded", 503, not_run, retry_advice::later, 1s,
     "The service has no free slot within the deadline."},
    {error_kind::deadline_expired, "deadline_expired", 504, not_run, retry_advice::never, 0s,
     "The deadline passed before the request was sent to a target."},
    {error_kind::target_leaving, "target_leaving", 503, not_run, retry_advice::now, 0s,
     "The target is leaving and accepts no new requests."},
    {error_kind::node_draining, "node_draining", 503, not_run, retry_advice::now, 0s,
     "The node is shutting down and accepts no new requests."},
    {error_kind::quarantined, "quarantined", 422, not_run, retry_advice::never, 0s,
     "Equal requests crashed several targets; the request is quarantined."},
    {error_kind::peer_unreachable, "peer_unreachable", 502, not_run, retry_advice::now, 0s,
     "The node of the target could not be reached; nothing was sent."},
    {error_kind::key_in_doubt, "key_in_doubt", 409, unknown, retry_advice::never, 0s,
     "An earlier send of this idempotency key may have run."},
    {error_kind::key_conflict, "key_conflict", 422, not_run, retry_advice::never, 0s,
     "The idempotency key was used for a different request."},
    {error_kind::slot_moving, "slot_moving", 503, not_run, retry_advice::later, 1s,
     "The holder of the idempotency key's slot is changing."},
    {error_kind::outcome_unknown, "outcome_unknown", 502, unknown, retry_advice::idempotent, 0s,
     "The connection failed after the request was sent; it may have run."},
    {error_kind::answer_broken, "answer_broken", 502, unknown, retry_advice::idempotent, 0s,
     "The answer is incomplete."},
    {error_kind::target_timeout, "target_timeout", 504, unknown, retry_advice::idempotent, 0s,
     "The target did not answer within the deadline; the request may have run."},
    {error_kind::cancelled, "cancelled", 499, unknown, retry_advice::idempotent, 0s,
     "The caller closed the connection before the answer."},
    {error_kind::invalid_settings, "invalid_settings", 500, not_run, retry_advice::never, 0s,
     "The settings file is invalid."},
    {error_kind::invalid_table, "invalid_table", 400, not_run, retry_advice::never, 0s,
     "The table has invalid rows."},
    {error_kind::stale_base, "stale_base", 409, not_run, retry_advice::never, 0s,
     "The edit is based on a version that is no longer current."},
    {error_kind::log_unavailable, "log_unavailable", 503, not_run, retry_advice::later, 5s,
     "The log service cannot be reached."},
    {error_kind::not_ready, "not_ready", 503, not_run, retry_advice::later, 1s,
     "The node has not received a configuration yet."},
    {error_kind::target_suspect, "target_suspect", 503, not_run, retry_advice::now, 0s,
     "The target failed recent requests; non-idempotent requests are not sent to it."},
    {error_kind::wrong_target, "wrong_target", 503, not_run, retry_advice::now, 0s,
     "A different target answered at the address of the selected target."},
    {error_kind::target_refused, "target_refused", 503, not_run, retry_advice::now, 0s,
     "The target refused the request without running it."},
    {error_kind::retry_limited, "repeat_limited", 503, not_run, retry_advice::now, 1s,
     "The fleet's retry budget of the target is exhausted."},
    {error_kind::unauthenticated, "unauthenticated", 401, not_run, retry_advice::never, 0s,
     "The request has no key of a client account, or an unknown one."},
    {error_kind::memory_limited, "memory_limited", 503, not_run, retry_advice::later, 2s,
     "The node has no memory for the request."},
    {error_kind::caller_too_slow, "caller_too_slow", 504, unknown, retry_advice::idempotent, 0s,
     "The caller sent or read too slowly while others waited for the target; the request may have run."},
    {error_kind::internal, "internal", 500, unknown, retry_advice::idempotent, 0s,
     "An internal error occurred on the node."},
}};

constexpr bool is_in_enum_order() {
    for (std::size_t i = 0; i < answers.size(); ++i) {
        if (static_cast<std::size_t>(answers[i].kind) != i) {
            return false;
        }
    }
    return answers.size() == static_cast<std::size_t>(error_kind::internal) + 1;
}
static_assert(is_in_enum_order());

constexpr std::array<std::string_view, 3> state_names{"not-run", "unknown", "run"};

}  // namespace

std::span<const error_answer> error_answers() {
    return answers;
}

const error_answer& get_error_answer(error_kind kind) {
    return answers[static_cast<std::size_t>(kind)];
}

std::optional<error_kind> parse_error_kind(std::string_view name) {
    const auto* found = std::find_if(answers.begin(), answers.end(),
                                     [name](const error_answer& answer) { return answer.name == name; });
    if (found == answers.end()) {
        return std::nullopt;
    }
    return found->kind;
}

std::string_view to_string(execution_state state) {
    return state_names[static_cast<std::size_t>(state)];
}

std::optional<execution_state> parse_execution_state(std::string_view text) {
    const auto* found = std::find(state_names.begin(), state_names.end(), text);
    if (found == state_names.end()) {
        return std::nullopt;
    }
    return static_cast<execution_state>(found - state_names.begin());
}

}  // namespace teaselpitch
