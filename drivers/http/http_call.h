#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "absl/status/statusor.h"
#include "core/identity.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

struct http_request {
    std::string method = "GET";
    std::string path = "/";             ///< Path and query.
    std::vector<header_field> headers;  ///< Host, Content-Length and Connection are added.
    std::string body;
    /// Fails the call within seconds when the connection went silent, however long the reply may take.
    bool detect_silence = false;
    /// Longest time for the connection; TCP itself repeats a lost opening packet after ever longer pauses.
    std::chrono::milliseconds connect_timeout{1'000};
    std::size_t max_reply_bytes = std::size_t{64} * 1024 * 1024;  ///< A longer reply fails the call.
};

struct http_reply {
    unsigned status = 0;
    std::vector<header_field> headers;
    std::string body;
};

/// Sends one request on a connection of its own and reads the whole reply. Fails with Unavailable when the
/// connection fails, DeadlineExceeded after the timeout, and DataLoss when the reply ends early.
awaitable<absl::StatusOr<http_reply>> http_call(boost::asio::any_io_executor executor, endpoint target,
                                                http_request request, std::chrono::milliseconds timeout);

/// Like http_call(), for programs without an event loop of their own.
absl::StatusOr<http_reply> http_call_blocking(const endpoint& target, http_request request,
                                              std::chrono::milliseconds timeout);

}  // namespace teaselpitch
