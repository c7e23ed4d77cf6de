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

/// Largest payload of a datagram in bytes; fits an Ethernet frame without fragments.
constexpr std::size_t max_datagram_bytes = 1400;

/// A UDP socket for small messages that may be lost. All members run on the executor, which must run one
/// handler at a time.
class datagram_socket {
public:
    using receive_hook = std::function<void(const endpoint& from, std::span<const std::byte> payload)>;

    /// Port 0 takes a free one. The hook is called for each datagram of at most max_datagram_bytes.
    datagram_socket(const boost::asio::any_io_executor& executor, endpoint listen, receive_hook on_datagram);
    datagram_socket(const datagram_socket&) = delete;
    datagram_socket& operator=(const datagram_socket&) = delete;
    /// Stops the socket.
    ~datagram_socket();

    /// Binds the socket and starts to receive; returns the bound endpoint.
    absl::StatusOr<endpoint> start();

    /// Sends one datagram or drops it when the socket cannot take it at once.
    absl::Status send(const endpoint& to, std::span<const std::byte> payload);

    /// Closes the socket; the hook is not called any more.
    void stop();

private:
    class state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
