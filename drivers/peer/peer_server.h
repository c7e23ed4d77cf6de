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
#include "servers/exchange/exchange.h"

namespace teaselpitch {

struct peer_server_options {
    endpoint listen{"127.0.0.1", 0};             ///< Port 0 takes a free one.
    bool reuse_port = false;                     ///< SO_REUSEPORT: each shard has its own acceptor.
    std::uint32_t max_concurrent_streams = 256;  ///< Per connection.
    /// Body bytes that a peer may send before the gate reads. With 0 a refusal leaves the body unread; a
    /// positive value saves one round trip for callers that can replay that many bytes.
    std::uint32_t early_body_window = 0;
    std::uint32_t stream_window = 262'144;  ///< Bytes of request body that are buffered for one stream.
    std::size_t max_control_bytes = 4'194'304;
    /// A silent client loses its running requests, so the server waits longer than the client does.
    std::chrono::milliseconds ping_idle{1000};
    std::chrono::milliseconds ping_deadline{3000};
    /// Closes a connection without streams; longer than the idle time of a pool, which closes first.
    std::chrono::milliseconds idle_timeout{600'000};
};

/// Answers control calls: method and payload to the payload of the answer.
using control_handler =
    std::function<awaitable<absl::StatusOr<std::string>>(std::string_view method, std::string_view payload)>;

/// Accepts connections of other nodes and passes their exchanges to the gate.
///
/// All work runs on the given executor, which must run one handler at a time; the members are called there or
/// before it runs. The gate and the clock must outlive the last handler of the executor.
class peer_server {
public:
    peer_server(boost::asio::any_io_executor executor, peer_server_options options, exchange_handler& gate,
                control_handler control, const time_source& clock);
    peer_server(const peer_server&) = delete;
    peer_server& operator=(const peer_server&) = delete;
    /// Stops the server.
    ~peer_server();

    /// Binds and listens; returns the bound endpoint.
    absl::StatusOr<endpoint> start();

    /// Takes no new connections or streams; completes when all streams and connections are closed.
    awaitable<void> drain();

    /// Closes all connections at once and cancels the running exchanges.
    void stop();

private:
    class state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
