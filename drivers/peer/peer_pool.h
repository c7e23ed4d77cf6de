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

struct peer_pool_options {
    std::string bind_address;  ///< Source address of outgoing connections; empty lets the system choose.
    std::chrono::milliseconds connect_timeout{300};   ///< Includes the wait for the peer's SETTINGS.
    std::chrono::milliseconds ping_idle{100};         ///< Receive inactivity with open streams before a PING.
    std::chrono::milliseconds ping_deadline{300};     ///< Time to receive any byte after a PING.
    std::chrono::milliseconds idle_timeout{300'000};  ///< Time without streams before a connection is closed.
    /// A connection without streams that received nothing for longer must answer a PING before it is used.
    /// Otherwise a request on a connection that was lost without notice would have an unknown outcome.
    std::chrono::milliseconds verify_after_idle{1000};
    std::size_t max_connections = 2;              ///< Per peer.
    std::uint32_t stream_window_bytes = 262'144;  ///< Receive buffer for the answer on one stream.
    std::size_t max_control_bytes = 4'194'304;    ///< Maximum size of the answer to a control call.
    /// Time after the deadline of an exchange during which the pool still waits for the gate's own answer.
    std::chrono::milliseconds deadline_grace{100};
    /// Called when a connection to the peer stopped responding and is replaced. The path is at fault, not a
    /// target.
    std::function<void(const endpoint&)> on_unresponsive_connection;
};

/// Pool of long-lived connections to other nodes, opened on demand. All members must be called on the given
/// executor, which must run one handler at a time.
class peer_pool {
public:
    peer_pool(boost::asio::any_io_executor executor, const time_source& clock, peer_pool_options options);
    peer_pool(const peer_pool&) = delete;
    peer_pool& operator=(const peer_pool&) = delete;
    /// Closes all connections; running exchanges end as on a lost connection.
    ~peer_pool();

    /// Forwards one exchange to the gate at `peer`, with the same contract as exchange_handler::exchange.
    awaitable<exchange_result> exchange(const endpoint& peer, const request_head& head, body_reader& body,
                                        response_writer& writer);

    /// Sends one control message and returns the answer or the status sent by the peer.
    /// UNAVAILABLE: the call was not run. DEADLINE_EXCEEDED or ABORTED: the call may have been run.
    awaitable<absl::StatusOr<std::string>> call(const endpoint& peer, std::string_view method,
                                                std::string payload, std::chrono::milliseconds timeout);

    /// Closes all connections immediately.
    void close();

    /// Number of connections to this peer that are open or being opened.
    [[nodiscard]] std::size_t connections(const endpoint& peer) const;

private:
    class state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
