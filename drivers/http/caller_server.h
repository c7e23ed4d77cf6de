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
#include "servers/admission/connection_share.h"
#include "servers/admission/memory_budget.h"
#include "servers/exchange/caller_limits.h"
#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

struct caller_server_options {
    endpoint listen{"127.0.0.1", 0};
    bool reuse_port = false;    ///< Sets SO_REUSEPORT, so that each shard can have an acceptor.
    std::string node = {};      ///< Value of the Teaselpitch-Node field.
    caller_limits limits = {};  ///< Initial limits; set_limits() replaces them.
    http_dialect dialect = {};  ///< Header fields of requests from and answers to callers.
    std::size_t max_connections = std::size_t{16} * 1024;  ///< No connections are accepted above this number.
    std::size_t max_overlapped = 32;  ///< Maximum number of requests of one connection that run at a time.
    std::chrono::milliseconds body_timeout{30'000};    ///< Maximum time without progress of the request body.
    std::chrono::milliseconds write_timeout{30'000};   ///< Maximum time without progress of the answer.
    std::chrono::milliseconds max_timeout{3'600'000};  ///< Default and upper limit of a request's timeout.
    std::chrono::milliseconds drain_idle_grace{500};   ///< For this long, a draining server still accepts one
                                                       ///< request on an idle connection.
    /// Longer answers to pipelined requests are streamed; an answer up to this size can be replaced by an
    /// error when it breaks off. Eight of them fit into the smallest budget.
    std::size_t max_held_answer_bytes = std::size_t{1024} * 1024;
    memory_budget* memory = nullptr;          ///< Account of the process; null without a bound.
    connection_share* connections = nullptr;  ///< Bound of the process; null without one.
    /// The handler sends nothing to a target before it has read this much of a body or its end.
    std::size_t read_ahead_bytes = std::size_t{64} * 1024;
    /// Size of the kernel's buffers of a connection, each way; 0 leaves it to the system.
    int socket_buffer_bytes = 0;
    /// Time that a body waits for memory before its request is refused. The stalled bodies that hold the
    /// memory are closed within it.
    std::chrono::milliseconds memory_wait{1'500};
};

/// Accepts callers' connections over HTTP/1.1 and passes each request to a handler. All calls run on the
/// executor, except open_exchanges(), which is thread-safe. The handler and the clock must outlive the
/// executor's context.
class caller_server {
public:
    caller_server(boost::asio::any_io_executor executor, caller_server_options options,
                  exchange_handler& handler, const time_source& clock,
                  std::function<std::string()> new_request_id);
    caller_server(const caller_server&) = delete;
    caller_server& operator=(const caller_server&) = delete;

    /// Closes the listener and resets all connections.
    ~caller_server();

    /// Starts to listen and returns the bound endpoint. Fails with Unavailable when the address cannot be
    /// bound.
    absl::StatusOr<endpoint> start();

    /// Replaces the limits; each connection applies them from its next request on.
    void set_limits(const caller_limits& limits);

    /// Closes the listener after it has accepted the connections in its queue.
    void stop_accepting();

    /// Number of requests in progress.
    [[nodiscard]] std::size_t open_exchanges() const;

    /// Stops accepting, answers the requests in progress with Connection: close, closes idle connections, and
    /// completes when all connections are closed.
    boost::asio::awaitable<void> drain();

    /// Answers all requests that have no answer yet with an error.
    void terminate_exchanges();

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
