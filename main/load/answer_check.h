#pragma once

#include <string>

#include "drivers/http/http_client.h"
#include "main/load/arrival_schedule.h"
#include "modules/history/history.h"

namespace teaselpitch {

/// Builds the HTTP request for a planned request. The path includes the idempotency key because the stand-in
/// target echoes the path.
http_request make_call_request(const planned_request& planned, const load_options& options);

/// Fills the response fields of the record from a complete HTTP reply and checks the body.
void evaluate_answer(const http_request& request, const http_reply& reply, call_record& call);

/// Returns the service name, which is the part of the host name before the first dot.
std::string get_service_name(const std::string& host);

}  // namespace teaselpitch
