#pragma once

#include "servers/exchange/http_dialect.h"

namespace teaselpitch::testing {

/// Dialect of the targets in these tests; its names are those of no real platform.
inline http_dialect make_test_dialect() {
    http_dialect dialect;
    dialect.request_id_field = "Attempt";
    dialect.timeout_ms_field = "Left-Ms";
    dialect.expected_target_field = "Wanted";
    dialect.caller_service_field = "Origin";
    dialect.not_executed_field = "Not-Done";
    dialect.answer_seal_field = "Seal";
    dialect.answers_echo_request_id = true;
    return dialect;
}

}  // namespace teaselpitch::testing
