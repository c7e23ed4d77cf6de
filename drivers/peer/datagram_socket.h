#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <span>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "core/identity.h"

namespace teaselpitch {

/// Maximum payload of a datagram in bytes; fits into one Ethernet frame without IP fragmentation.
constexpr std::size_t max_datagram_bytes = 1400;

/// UDP socket for small messages that may be lost. All members must be called on the executor, which must run
/// one handler at a time.
class datagram_socket {
public:
    using datagram_handler = std::function<void(const endpoint& from, std::span<const std::byte> payload)>;

    /// Port 0 binds a free port. `on_datagram` is called for each datagram of at most max_datagram_bytes;
    /// larger ones are dropped.
    datagram_socket(const boost::asio::any_io_executor& executor, endpoint listen,
                    datagram_handler on_datagram);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    /// Stops the socket.
    ~datagram_socket();

    /// Binds the socket and starts receiving; returns the bound endpoint. INVALID_ARGUMENT: the address is
    /// not an IP address. UNAVAILABLE: the socket cannot be bound.
    absl::StatusOr<endpoint> start();

    /// Sends one datagram without blocking. UNAVAILABLE: the socket could not send it at once and dropped it.
    absl::Status send(const endpoint& to, std::span<const std::byte> payload);

    /// Closes the socket; `on_datagram` is not called afterwards.
    void stop();

private:
    class state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
