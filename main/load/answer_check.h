#pragma once

#include <string>

#include "drivers/http/http_client.h"
#include "main/load/arrival_schedule.h"
#include "modules/history/history.h"

namespace teaselpitch {

/// The path, headers and body of a send. The stand-in echoes the path, so it carries the key.
http_request request_of(const planned_send& send, const load_options& options);

/// Fills the fields of the answer from a whole reply.
void judge_answer(const http_request& request, const http_reply& reply, call_record& call);

/// The service that a host names: its part before the first dot.
std::string service_of(const std::string& host);

}  // namespace teaselpitch
