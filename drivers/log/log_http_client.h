#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/identity.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch::log_http {

struct request {
    std::string method = "GET";
    std::string target;  ///< Path and query.
    std::string body;
    std::string content_type = "application/octet-stream";
};

struct response {
    bool sent = false;      ///< The server may have received some bytes of the request.
    bool answered = false;  ///< A complete answer was received; status and body are set.
    unsigned status = 0;
    std::string body;
    std::string detail;  ///< Description of the failure unless answered.
};

/// Sends one request on a new connection and waits for the complete answer. The request must be a named
/// variable: GCC 12 destroys an aggregate temporary twice when it is an argument in a co_await expression.
awaitable<response> send_request(endpoint address, request message, std::chrono::milliseconds timeout);

}  // namespace teaselpitch::log_http
