#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "core/identity.h"

namespace teaselpitch {

struct admin_request {
    std::string method;
    std::string path;                          ///< Without the query.
    std::map<std::string, std::string> query;  ///< Decoded; the last value of a repeated name is used.
    std::string body;
    endpoint peer;  ///< Source address of the connection.
};

struct admin_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// Limits of an admin_server that a request or a connection met.
enum class admin_limit : std::uint8_t {
    connections,  ///< A connection was closed for a new one, or a new one was refused.
    body_size,    ///< A request was refused because its body is too large.
};

struct admin_server_options {
    endpoint listen;
    std::size_t max_connections = 1024;
    std::size_t max_body_bytes = std::size_t{64} * 1024;
    /// Size of the kernel's buffers of a connection, each way; 0 leaves it to the system.
    int socket_buffer_bytes = 0;
    std::function<void(admin_limit)> limit_met = nullptr;
};

/// Small HTTP server for operator requests, announcements and metrics. Runs the requests of one connection
/// one at a time; all calls run on the executor. At the maximum of connections, a new one replaces the
/// one whose latest complete request is the oldest.
class admin_server {
public:
    using handler = std::function<boost::asio::awaitable<admin_response>(admin_request)>;

    admin_server(boost::asio::any_io_executor executor, admin_server_options options, handler handle);
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    ~admin_server();

    /// Starts to listen and returns the bound endpoint. Fails with Unavailable when the address cannot be
    /// bound.
    absl::StatusOr<endpoint> start();

    /// Closes the listener and all connections. Requests that are in progress get no answer.
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Decodes percent escapes and plus signs of one query component; an invalid escape is left unchanged.
std::string decode_query_component(std::string_view text);

/// Encodes a text for use in a query: every byte but letters, digits and "-._~" becomes %XX.
std::string encode_query_component(std::string_view text);

/// Parses the query of a request target: the text after the question mark.
std::map<std::string, std::string> parse_query(std::string_view text);

}  // namespace teaselpitch
