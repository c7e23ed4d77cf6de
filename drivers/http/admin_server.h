#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
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
    std::map<std::string, std::string> query;  ///< Decoded; the last of equal names counts.
    std::string body;
    endpoint peer;
};

struct admin_response {
    unsigned status = 200;
    std::string content_type = "application/json";
    std::string body;
};

/// Small HTTP server for operators, announcements and metrics. Requests of one connection run one after
/// another; all calls run on the executor.
class admin_server {
public:
    using handler = std::function<boost::asio::awaitable<admin_response>(admin_request)>;

    /// Longest accepted body, in bytes.
    static constexpr std::size_t max_body_bytes = std::size_t{8} * 1024 * 1024;

    admin_server(boost::asio::any_io_executor executor, endpoint listen, handler handle);
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    ~admin_server();

    /// Listens and returns the bound endpoint.
    absl::StatusOr<endpoint> start();

    /// Closes the listener and all connections; a request that runs loses its answer.
    void stop();

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// Decodes percent escapes and plus signs of one query part; a broken escape stays as it is.
std::string decode_query_part(std::string_view text);

/// Parses the text behind the question mark of a request target.
std::map<std::string, std::string> parse_query(std::string_view text);

}  // namespace teaselpitch
