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
    /// Enables TCP keep-alive probes: the call fails within seconds when the peer becomes unreachable, even
    /// if the reply may take much longer.
    bool keep_alive_probes = false;
    /// Limit of the connection setup. TCP retransmits a lost SYN with exponential backoff, so the setup may
    /// take much longer than a partition lasts.
    std::chrono::milliseconds connect_timeout{1'000};
    std::size_t max_reply_bytes =
        std::size_t{64} * 1024 *
        1024;  ///< The call fails with ResourceExhausted when the reply body is larger.
};

struct http_reply {
    unsigned status = 0;
    std::vector<header_field> headers;
    std::string body;
};

/// Sends one request on a new connection and reads the whole reply. Fails with Unavailable when the
/// connection fails, DeadlineExceeded after the timeout, and DataLoss when the reply is incomplete or
/// malformed.
awaitable<absl::StatusOr<http_reply>> send_http_request(boost::asio::any_io_executor executor,
                                                        endpoint target, http_request request,
                                                        std::chrono::milliseconds timeout);

/// Blocking variant of send_http_request(), for programs without an event loop.
absl::StatusOr<http_reply> send_http_request_blocking(const endpoint& target, http_request request,
                                                      std::chrono::milliseconds timeout);

}  // namespace teaselpitch
