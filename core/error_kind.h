#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace teaselpitch {

/// Says whether a request was run by a target, as far as the fleet can prove.
enum class execution_state : std::uint8_t {
    not_run,  ///< No byte of the request reached a target.
    unknown,  ///< Some bytes may have reached a target and no whole answer came back.
    run,      ///< The target answered.
};

/// The closed list of errors that a caller or an operator can meet.
enum class error_kind : std::uint8_t {
    none,
    malformed_request,
    header_too_large,
    body_too_large,
    no_route,
    no_target,
    account_limited,
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
    repeat_limited,
    internal,
};

/// Tells a caller whether sending the request again can help.
enum class retry_advice : std::uint8_t {
    never,       ///< The same request gets the same answer.
    now,         ///< The request was not run; another node may take it at once.
    later,       ///< The request was not run; wait for the given time.
    idempotent,  ///< The outcome is open; only an idempotent request may be sent again.
};

/// What a caller is told for one error kind.
struct error_answer {
    error_kind kind;
    std::string_view name;      ///< Value of the Teaselpitch-Error header.
    unsigned http_status;       ///< HTTP status code.
    execution_state execution;  ///< Default value of the Teaselpitch-Execution header.
    retry_advice advice;
    std::chrono::seconds retry_after;  ///< Value of the Retry-After header; 0 omits it.
    std::string_view meaning;          ///< One sentence for the body of the answer.
};

/// The table from kind to answer, in the order of the enumeration.
std::span<const error_answer> error_answers();

/// The answer for one kind.
const error_answer& answer_of(error_kind kind);

/// Finds a kind by its name; empty when the name is not in the table.
std::optional<error_kind> parse_error_kind(std::string_view name);

/// Text of the Teaselpitch-Execution header: not-run, unknown or run.
std::string_view to_string(execution_state state);

/// Parses the text of the Teaselpitch-Execution header.
std::optional<execution_state> parse_execution_state(std::string_view text);

}  // namespace teaselpitch
