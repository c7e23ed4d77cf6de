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
    std::chrono::milliseconds connect_timeout{300};  ///< Until the settings of the peer arrived.
    std::chrono::milliseconds ping_idle{100};        ///< Silence with open streams before a PING goes out.
    std::chrono::milliseconds ping_deadline{300};
    std::chrono::milliseconds idle_timeout{300'000};  ///< Closes a connection without streams.
    /// A connection without streams that was quiet for longer answers a PING before it gets a request, so
    /// that a request does not end as unknown on a connection that died unnoticed.
    std::chrono::milliseconds verify_after{1000};
    std::size_t max_connections = 2;            ///< Per peer.
    std::uint32_t stream_window = 262'144;      ///< Bytes of an answer that are buffered for one stream.
    std::size_t max_control_bytes = 4'194'304;  ///< Largest answer to a control call.
    /// Time after the deadline of an exchange in which the gate's own answer is still awaited.
    std::chrono::milliseconds deadline_grace{100};
    /// A connection went silent and is replaced. The fault is on the path, not at a target.
    std::function<void(const endpoint&)> on_silent_connection;
};

/// Long-lived connections to other nodes, opened on demand. All members run on the given executor, which must
/// run one handler at a time.
class peer_pool {
public:
    peer_pool(boost::asio::any_io_executor executor, const time_source& clock, peer_pool_options options);
    peer_pool(const peer_pool&) = delete;
    peer_pool& operator=(const peer_pool&) = delete;
    /// Closes all connections; running exchanges end as on a broken connection.
    ~peer_pool();

    /// Passes one exchange to the gate at `peer`; follows the rules of exchange_handler.
    awaitable<exchange_result> exchange(const endpoint& peer, const request_head& head, body_reader& body,
                                        response_writer& writer);

    /// Sends one control message and returns the answer, or the status that the peer answered with.
    /// UNAVAILABLE: nothing was sent. DEADLINE_EXCEEDED or ABORTED: the call may have been run.
    awaitable<absl::StatusOr<std::string>> call(const endpoint& peer, std::string_view method,
                                                std::string payload, std::chrono::milliseconds timeout);

    /// Closes all connections at once.
    void close();

    /// Connections that are open or being opened to this peer.
    [[nodiscard]] std::size_t connections(const endpoint& peer) const;

private:
    class state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
