#pragma once

#include <chrono>
#include <string>

#include "core/identity.h"
#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

/// Formats the request line and the header of a request to a target, with the request id and the remaining
/// time.
std::string format_target_request(const request_head& head, const endpoint& target,
                                  std::chrono::nanoseconds remaining, const http_dialect& dialect = {});

}  // namespace teaselpitch
