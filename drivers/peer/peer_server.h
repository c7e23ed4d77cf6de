#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "core/identity.h"
#include "servers/admission/memory_budget.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Limits of a peer_server that a connection or a stream met.
enum class peer_limit : std::uint8_t {
    connections,  ///< A connection was closed for a new one, or a new one was refused.
    memory,       ///< A stream was refused, or the payload of a control call was not read to its end.
    time,         ///< A control call did not arrive in time.
};

struct peer_server_options {
    endpoint listen{"127.0.0.1", 0};             ///< Port 0 binds a free port.
    bool reuse_port = false;                     ///< Sets SO_REUSEPORT; each shard has its own acceptor.
    std::uint32_t max_concurrent_streams = 256;  ///< Per connection.
    /// Body bytes that a peer may send before the gate reads. With 0, a refused request leaves the body
    /// unread. A positive value saves one round trip, but callers must be able to replay that many bytes.
    std::uint32_t early_body_window_bytes = 0;
    std::uint32_t stream_window_bytes = 262'144;  ///< Receive buffer for the request body of one stream.
    std::size_t max_control_bytes = 4'194'304;    ///< Maximum payload of a control call.
    /// Time for a control call to arrive completely. The longest takes 3.4 s on the slowest link (10 Mbit/s).
    std::chrono::milliseconds control_timeout{10'000};
    /// At this number, a new connection replaces the one without streams that was silent for longest, or is
    /// refused when all have streams; 0 sets no bound.
    std::size_t max_connections = 0;
    /// Charged with the heads of streams and with the payloads of control calls; null without a bound. It
    /// must outlive the server.
    memory_budget* memory = nullptr;
    std::function<void(peer_limit)> limit_met = nullptr;
    /// Closing the connection of an unresponsive client cancels its running requests, so the server waits
    /// longer than the client does.
    std::chrono::milliseconds ping_idle{1000};
    std::chrono::milliseconds ping_deadline{3000};
    /// Time without streams before a connection is closed; longer than the timeout of the pool, which closes
    /// first.
    std::chrono::milliseconds idle_timeout{600'000};
    /// Per connection; see h2_session_options.
    std::uint32_t max_stream_resets_per_second = 25'600;
};

/// Handles a control call; returns the payload of the answer or the status to send.
using control_handler =
    std::function<awaitable<absl::StatusOr<std::string>>(std::string_view method, std::string_view payload)>;

/// Accepts connections from other nodes; passes exchanges to the gate and control calls to their handler.
///
/// All work runs on the given executor, which must run one handler at a time. The members must be called on
/// it or before it runs. The gate and the clock must outlive the last handler of the executor.
class peer_server {
public:
    peer_server(boost::asio::any_io_executor executor, peer_server_options options, exchange_handler& gate,
                control_handler control, const time_source& clock);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    /// Stops the server.
    ~peer_server();

    /// Starts listening; returns the bound endpoint. INVALID_ARGUMENT: the address is not an IP address.
    /// UNAVAILABLE: the port cannot be bound.
    absl::StatusOr<endpoint> start();

    /// Stops accepting connections and streams; completes when all streams and connections are closed.
    awaitable<void> drain();

    /// Closes all connections immediately and cancels the running exchanges.
    void stop();

private:
    class state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
