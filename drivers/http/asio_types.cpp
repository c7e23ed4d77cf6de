#include "drivers/http/asio_types.h"

#include <netinet/tcp.h>

#include <sys/socket.h>

#include <string>
#include <utility>

#include "absl/status/status.h"

namespace teaselpitch {

absl::StatusOr<tcp::endpoint> to_tcp_endpoint(const endpoint& value) {
    error_code error;
    const net::ip::address address = net::ip::make_address(value.address, error);
    if (error) {
        return absl::InvalidArgumentError("address \"" + value.address + "\" is not a numeric IP address");
    }
    return tcp::endpoint(address, value.port);
}

absl::StatusOr<tcp::acceptor> open_acceptor(const net::any_io_executor& executor, const endpoint& listen,
                                            bool reuse_port) {
    const absl::StatusOr<tcp::endpoint> local = to_tcp_endpoint(listen);
    if (!local.ok()) {
        return local.status();
    }
    tcp::acceptor acceptor(executor);
    error_code error;
    acceptor.open(local->protocol(), error);
    if (!error) {
        acceptor.set_option(net::socket_base::reuse_address(true), error);
    }
    const int enabled = 1;
    if (!error && reuse_port &&
        ::setsockopt(acceptor.native_handle(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled) != 0) {
        error = error_code(errno, boost::system::system_category());
    }
    if (!error) {
        acceptor.bind(*local, error);
    }
    if (!error) {
        acceptor.listen(net::socket_base::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError("cannot listen on " + to_string(listen) + ": " + error.message());
    }
    return acceptor;
}

void set_buffer_sizes(tcp::acceptor& acceptor, int bytes) {
    if (bytes > 0) {
        // Accepted connections inherit the sizes of the listener.
        error_code ignored;
        acceptor.set_option(tcp::socket::receive_buffer_size(bytes), ignored);
        acceptor.set_option(tcp::socket::send_buffer_size(bytes), ignored);
    }
}

void enable_keep_alive_probes(tcp::socket& socket) {
    using idle_option = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using interval_option = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using count_option = net::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    using unacknowledged_option = net::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    constexpr int idle_seconds = 1;
    constexpr int interval_seconds = 1;
    constexpr int probes = 2;
    constexpr int unacknowledged_ms = 3'000;
    error_code ignored;  // Without probes, the connection is still bounded by the timeout of its call.
    socket.set_option(tcp::socket::keep_alive(true), ignored);
    socket.set_option(idle_option(idle_seconds), ignored);
    socket.set_option(interval_option(interval_seconds), ignored);
    socket.set_option(count_option(probes), ignored);
    socket.set_option(unacknowledged_option(unacknowledged_ms), ignored);
}

void reset_socket(tcp::socket& socket) {
    error_code ignored;
    if (socket.is_open()) {
        socket.set_option(net::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
    }
}

}  // namespace teaselpitch
