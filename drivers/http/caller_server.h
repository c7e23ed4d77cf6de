#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/identity.h"
#include "servers/exchange/caller_limits.h"
#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

struct caller_server_options {
    endpoint listen{"127.0.0.1", 0};
    bool reuse_port = false;    ///< Sets SO_REUSEPORT: one acceptor for each shard.
    std::string node = {};      ///< Value of the Teaselpitch-Node field.
    caller_limits limits = {};  ///< Replaced by set_limits().
    http_dialect dialect = {};  ///< Header fields towards callers.
    std::size_t max_connections = std::size_t{16} * 1024;  ///< Accepting pauses at this number.
    std::size_t max_overlapped = 32;                       ///< Requests of one connection that run at a time.
    std::chrono::milliseconds body_timeout{30'000};        ///< Without progress on the request body.
    std::chrono::milliseconds write_timeout{30'000};       ///< Without progress on the answer.
    std::chrono::milliseconds max_timeout{3'600'000};      ///< Deadline of a request that names none.
    std::chrono::milliseconds drain_idle_grace{500};  ///< A draining server still takes one request on an
                                                      ///< idle connection for this long.
};

/// Accepts callers over HTTP/1.1 and hands each request to a handler. All calls run on the executor,
/// except open_exchanges(). The handler and the clock must outlive the executor's context.
class caller_server {
public:
    caller_server(boost::asio::any_io_executor executor, caller_server_options options,
                  exchange_handler& handler, const time_source& clock,
                  std::function<std::string()> new_request_id);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Closes the listener and resets all connections.
    ~caller_server();

    /// Listens and returns the bound endpoint.
    absl::StatusOr<endpoint> start();

    /// Changes the limits for all connections from their next request on.
    void set_limits(const caller_limits& limits);

    /// Closes the listener after taking the connections that wait in its queue.
    void stop_accepting();

    /// Requests that run now.
    [[nodiscard]] std::size_t open_exchanges() const;

    /// Stops accepting, answers what is in flight with Connection: close, closes idle connections, and
    /// completes when all connections are closed.
    boost::asio::awaitable<void> drain();

    /// Ends all requests that have no answer yet with one of the server's own.
    void end_exchanges();

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
