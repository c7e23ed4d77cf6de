#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace teaselpitch {

/// Whether a target has run a request, as far as the fleet can prove.
enum class execution_state : std::uint8_t {
    not_run,  ///< No byte of the request reached a target.
    unknown,  ///< Some bytes may have reached a target, but no complete answer was received.
    run,      ///< The target answered.
};

/// All errors that are reported to callers and operators.
enum class error_kind : std::uint8_t {
    none,
    malformed_request,
    header_too_large,
    body_too_large,
    no_route,
    no_target,
    account_limited,
    quota_unavailable,
    overloaded,
    deadline_expired,
    target_leaving,
    node_draining,
    quarantined,
    peer_unreachable,
    key_in_doubt,
    key_conflict,
    slot_moving,
    outcome_unknown,
    answer_broken,
    target_timeout,
    cancelled,
    invalid_settings,
    invalid_table,
    stale_base,
    log_unavailable,
    not_ready,
    target_suspect,
    wrong_target,
    target_refused,
    retry_limited,
    unauthenticated,
    memory_limited,
    caller_too_slow,
    internal,
};

/// Whether a retry of the request can succeed.
enum class retry_advice : std::uint8_t {
    never,       ///< A retry gets the same answer.
    now,         ///< The request was not run; it may be retried immediately on another node.
    later,       ///< The request was not run; it may be retried after the Retry-After delay.
    idempotent,  ///< The outcome is unknown; only an idempotent request may be retried.
};

/// Status code, header values and description that a caller receives for one error kind.
struct error_answer {
    error_kind kind;
    std::string_view name;  ///< Value of the Teaselpitch-Error header.
    unsigned http_status;
    execution_state execution;  ///< Default value of the Teaselpitch-Execution header.
    retry_advice advice;
    std::chrono::seconds retry_after;  ///< Value of the Retry-After header; 0 omits it.
    std::string_view description;      ///< One sentence; field "meaning" of the answer body.
};

/// All error answers, in the order of error_kind.
std::span<const error_answer> error_answers();

const error_answer& get_error_answer(error_kind kind);

/// Parses the value of the Teaselpitch-Error header; empty when the name is unknown.
std::optional<error_kind> parse_error_kind(std::string_view name);

/// Value of the Teaselpitch-Execution header: not-run, unknown or run.
std::string_view to_string(execution_state state);

/// Parses the value of the Teaselpitch-Execution header; empty when it is unknown.
std::optional<execution_state> parse_execution_state(std::string_view text);

}  // namespace teaselpitch
