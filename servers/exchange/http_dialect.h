#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/error_kind.h"

namespace teaselpitch {

/// Names of the header fields that the HTTP drivers exchange with callers and targets, and the related rules.
/// The defaults are the project's own interface. An empty name disables the field.
struct http_dialect {
    std::string request_id_field = "Teaselpitch-Request-Id";
    std::string timeout_ms_field = "Teaselpitch-Timeout-Ms";
    std::string expected_target_field;  ///< To targets: the identity of the intended target.
    std::string caller_service_field;   ///< To targets: the service at which the request entered the fleet.
    std::string account_key_field;      ///< From callers: the key of a client account.
    std::string account_field;          ///< To targets: the name of the caller's client account.
    std::string not_executed_field;     ///< From targets: the request was refused and not executed.
    std::string answer_seal_field;  ///< From targets: a successful answer without it is not from the target.

    bool callers_set_request_id =
        false;  ///< Callers must send the request id; a request without one is malformed.
    bool answers_echo_request_id =
        false;  ///< Targets echo the request id; a different id belongs to an earlier answer.
    bool adds_fleet_fields_to_answers = true;  ///< Adds the Teaselpitch-* fields to answers for callers.
    bool fractional_retry_after = false;       ///< Retry-After may have a fraction of a second.
    std::vector<std::pair<error_kind, unsigned>>
        status_overrides;  ///< HTTP statuses that differ from the table of error kinds.
};

/// Returns the HTTP status of an error answer in this dialect.
unsigned http_status_of(const http_dialect& dialect, error_kind kind);

}  // namespace teaselpitch
