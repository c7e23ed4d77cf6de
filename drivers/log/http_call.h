#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "core/identity.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch::log_http {

struct request {
    std::string method = "GET";
    std::string target;
    std::string body;
    std::string content_type = "application/octet-stream";
};

struct response {
    bool sent = false;      ///< Some bytes of the request may have reached the server.
    bool answered = false;  ///< A whole answer came back; status and body are set.
    unsigned status = 0;
    std::string body;
    std::string detail;  ///< Reason unless answered.
};

/// Sends one request on a connection of its own and waits for the whole answer. Pass a named request:
/// GCC 12 destroys an aggregate temporary twice when it is an argument in a co_await expression.
awaitable<response> call(endpoint address, request message, std::chrono::milliseconds timeout);

}  // namespace teaselpitch::log_http
