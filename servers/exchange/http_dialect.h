#pragma once

#include <string>
#include <utility>
#include <vector>

#include "core/error_kind.h"

namespace teaselpitch {

/// Names of the header fields that the HTTP drivers exchange with callers and targets, and the rules that
/// come with them. The defaults are the project's own interface; an empty name means that the field is not
/// used.
struct http_dialect {
    std::string request_id = "Teaselpitch-Request-Id";
    std::string timeout_ms = "Teaselpitch-Timeout-Ms";
    std::string expected_target;  ///< To targets: the identity that the request is meant for.
    std::string caller_service;   ///< To targets: the service at which the request entered the fleet.
    std::string not_executed;     ///< From targets: the request was refused and did not run.
    std::string answer_seal;      ///< From targets: a success without it is not the target's answer.

    bool caller_names_request =
        false;  ///< Callers choose the request id; a request without one is malformed.
    bool answers_name_request =
        false;  ///< Targets repeat the request id; another id belongs to an old answer.
    bool fleet_fields_on_answers = true;  ///< Adds the Teaselpitch-* fields to answers for callers.
    bool fractional_retry_after = false;  ///< Retry-After may have a fraction of a second.
    std::vector<std::pair<error_kind, unsigned>> statuses;  ///< Differences from the table of error kinds.
};

/// The HTTP status of an error answer in this dialect.
unsigned http_status_of(const http_dialect& dialect, error_kind kind);

}  // namespace teaselpitch
