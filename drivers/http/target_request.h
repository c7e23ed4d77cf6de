#pragma once

#include <chrono>
#include <string>

#include "core/identity.h"
#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

/// The request line and fields towards a target, with its id and the time that remains for it.
std::string format_target_request(const request_head& head, const endpoint& target,
                                  std::chrono::nanoseconds remaining, const http_dialect& dialect = {});

}  // namespace teaselpitch
