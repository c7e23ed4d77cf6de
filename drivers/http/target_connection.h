#pragma once

#include <chrono>
#include <memory>

#include "core/clock.h"
#include "core/identity.h"
#include "drivers/http/asio_types.h"

namespace teaselpitch {

/// One TCP connection to a target, with its read buffer.
struct target_connection {
    explicit target_connection(const net::any_io_executor& executor);

    /// True when no bytes have arrived and the target has not closed the connection; otherwise it must not be
    /// reused.
    [[nodiscard]] bool is_reusable();

    /// True when the target has closed its side in order and received all bytes that were written to it.
    /// After a reset it is false, even if another call has consumed the error of the socket.
    [[nodiscard]] bool ended_in_order();

    tcp::socket socket;
    beast::flat_buffer buffer;
    steady_time idle_since;
    /// How long the connection may stay idle according to the target's Keep-Alive field; max() without one.
    std::chrono::milliseconds target_idle_timeout = std::chrono::milliseconds::max();
};

/// Pool of idle connections that exchanges take connections from and return them to.
class target_connection_pool {
public:
    virtual ~target_connection_pool() = default;
    virtual net::any_io_executor executor() = 0;
    virtual const endpoint& target() = 0;
    /// Removes and returns a reusable connection that has been idle for at most this time; null when there is
    /// none.
    virtual std::unique_ptr<target_connection> acquire_idle(std::chrono::milliseconds max_idle_time) = 0;
    virtual void put_idle(std::unique_ptr<target_connection> connection) = 0;

protected:
    target_connection_pool() = default;
    target_connection_pool(const target_connection_pool&) = default;
    target_connection_pool& operator=(const target_connection_pool&) = default;
};

}  // namespace teaselpitch
