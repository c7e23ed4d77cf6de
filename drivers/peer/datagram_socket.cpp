#include "drivers/peer/datagram_socket.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <string>
#include <utility>

namespace teaselpitch {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

// Buffers a burst of a few hundred datagrams while the control thread is busy.
constexpr int receive_buffer_bytes = 1'048'576;

}  // namespace

class datagram_socket::state : public std::enable_shared_from_this<datagram_socket::state> {
public:
    state(const asio::any_io_executor& executor, endpoint listen, datagram_handler on_datagram)
        : socket_(executor), listen_(std::move(listen)), on_datagram_(std::move(on_datagram)) {}

    absl::StatusOr<endpoint> start();
    absl::Status send(const endpoint& to, std::span<const std::byte> payload);
    void stop();

private:
    asio::awaitable<void> receive_loop();

    udp::socket socket_;
    endpoint listen_;
    datagram_handler on_datagram_;
};

absl::StatusOr<endpoint> datagram_socket::state::start() {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(listen_.address, error);
    if (error) {
        return absl::InvalidArgumentError("datagram listen address is not an IP address: " + listen_.address);
    }
    const udp::endpoint local(address, listen_.port);
    socket_.open(local.protocol(), error);
    if (!error) {
        socket_.bind(local, error);
    }
    if (!error) {
        socket_.non_blocking(true, error);
    }
    if (error) {
        return absl::UnavailableError("cannot bind " + to_string(listen_) + ": " + error.message());
    }
    boost::system::error_code ignored;
    socket_.set_option(asio::socket_base::receive_buffer_size(receive_buffer_bytes), ignored);
    const udp::endpoint bound = socket_.local_endpoint();
    asio::co_spawn(
        socket_.get_executor(),
        [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->receive_loop(); },
        asio::detached);
    return endpoint{bound.address().to_string(), bound.port()};
}

asio::awaitable<void> datagram_socket::state::receive_loop() {
    // One extra byte distinguishes an oversized datagram from one of the maximum size.
    std::array<std::byte, max_datagram_bytes + 1> buffer{};
    udp::endpoint from;
    while (socket_.is_open()) {
        const auto [error, count] = co_await socket_.async_receive_from(asio::buffer(buffer), from,
                                                                        asio::as_tuple(asio::use_awaitable));
        if (error == asio::error::operation_aborted) {
            break;
        }
        // Other errors report that an earlier datagram was rejected; the socket stays usable.
        if (!error && socket_.is_open() && count <= max_datagram_bytes) {
            on_datagram_({from.address().to_string(), from.port()}, std::span(buffer).first(count));
        }
    }
}

absl::Status datagram_socket::state::send(const endpoint& to, std::span<const std::byte> payload) {
    if (payload.size() > max_datagram_bytes) {
        return absl::InvalidArgumentError("the datagram exceeds the size limit with " +
                                          std::to_string(payload.size()) + " bytes");
    }
    boost::system::error_code error;
    const auto address = asio::ip::make_address(to.address, error);
    if (error) {
        return absl::InvalidArgumentError("datagram destination is not an IP address: " + to.address);
    }
    socket_.send_to(asio::buffer(payload.data(), payload.size()), udp::endpoint(address, to.port), 0, error);
    return error ? absl::UnavailableError("cannot send to " + to_string(to) + ": " + error.message())
                 : absl::OkStatus();
}

void datagram_socket::state::stop() {
    boost::system::error_code ignored;
    socket_.close(ignored);
}

datagram_socket::datagram_socket(const asio::any_io_executor& executor, endpoint listen,
                                 datagram_handler on_datagram)
    : state_(std::make_shared<state>(executor, std::move(listen), std::move(on_datagram))) {}

datagram_socket::~datagram_socket() {
    stop();
}

absl::StatusOr<endpoint> datagram_socket::start() {
    return state_->start();
}

absl::Status datagram_socket::send(const endpoint& to, std::span<const std::byte> payload) {
    return state_->send(to, payload);
}

void datagram_socket::stop() {
    state_->stop();
}

}  // namespace teaselpitch
