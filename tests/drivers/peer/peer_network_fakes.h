#pragma once

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "core/identity.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Forwards TCP connections over the loopback interface. It can drop the traffic of the open connections
/// while new ones work.
class tcp_relay {
public:
    tcp_relay(boost::asio::io_context& context, endpoint target)
        : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}), target_(std::move(target)) {
        boost::asio::co_spawn(context, accept_loop(), boost::asio::detached);
    }

    [[nodiscard]] endpoint listen_endpoint() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    /// Drops the traffic of all connections that are open now, without closing them.
    void drop_traffic() {
        for (const auto& forwarded_connection : connections_) {
            forwarded_connection->dropping = true;
        }
    }

    /// Holds the traffic of all connections that are open now back, or forwards what was held back.
    void hold_traffic(bool held) {
        for (const auto& forwarded_connection : connections_) {
            forwarded_connection->held = held;
        }
    }

    void close() {
        acceptor_.close();
        hold_traffic(false);
        for (const auto& forwarded_connection : connections_) {
            forwarded_connection->client_socket.close();
            forwarded_connection->server_socket.close();
        }
    }

    [[nodiscard]] std::size_t connections() const { return connections_.size(); }

private:
    using tcp = boost::asio::ip::tcp;
    struct forwarded_connection {
        tcp::socket client_socket;
        tcp::socket server_socket;
        bool dropping = false;
        bool held = false;
    };

    awaitable<void> accept_loop() {
        const auto executor = co_await boost::asio::this_coro::executor;
        while (true) {
            auto [error, socket] =
                co_await acceptor_.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error) {
                co_return;
            }
            auto added = std::make_shared<forwarded_connection>(
                forwarded_connection{std::move(socket), tcp::socket(executor)});
            connections_.push_back(added);
            co_await added->server_socket.async_connect(
                tcp::endpoint(boost::asio::ip::make_address(target_.address), target_.port),
                boost::asio::use_awaitable);
            boost::asio::co_spawn(executor, forward_bytes(added, added->client_socket, added->server_socket),
                                  boost::asio::detached);
            boost::asio::co_spawn(executor, forward_bytes(added, added->server_socket, added->client_socket),
                                  boost::asio::detached);
        }
    }

    static awaitable<void> forward_bytes(std::shared_ptr<forwarded_connection> owner, tcp::socket& from,
                                         tcp::socket& to) {
        std::array<std::byte, 16'384> buffer{};
        while (true) {
            const auto [error, count] = co_await from.async_read_some(
                boost::asio::buffer(buffer), boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error) {
                to.close();
                co_return;
            }
            while (owner->held) {
                boost::asio::steady_timer timer(from.get_executor(), std::chrono::milliseconds(5));
                co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
            }
            if (!owner->dropping) {
                co_await boost::asio::async_write(to, boost::asio::buffer(buffer.data(), count),
                                                  boost::asio::as_tuple(boost::asio::use_awaitable));
            }
        }
    }

    tcp::acceptor acceptor_;
    endpoint target_;
    std::vector<std::shared_ptr<forwarded_connection>> connections_;
};

/// Peer with scripted bytes: it sends the greeting, waits for a request head, sends the reply and then closes
/// the connection or leaves it open.
class scripted_peer {
public:
    scripted_peer(boost::asio::io_context& context, std::string greeting, std::string reply, bool close_after)
        : acceptor_(context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
          greeting_(std::move(greeting)),
          reply_(std::move(reply)),
          close_after_(close_after) {
        boost::asio::co_spawn(context, accept_loop(), boost::asio::detached);
    }

    [[nodiscard]] endpoint listen_endpoint() const {
        return {"127.0.0.1", acceptor_.local_endpoint().port()};
    }

    void close() {
        acceptor_.close();
        for (const auto& socket : sockets_) {
            socket->close();
        }
    }

    /// Encodes one HTTP/2 frame.
    static std::string frame(std::uint8_t type, std::uint32_t stream, const std::string& payload,
                             std::uint8_t flags = 0) {
        std::string bytes{'\0', static_cast<char>(payload.size() >> 8U), static_cast<char>(payload.size()),
                          static_cast<char>(type), static_cast<char>(flags)};
        return bytes + encode_uint32(stream) + payload;
    }
    static std::string encode_uint32(std::uint32_t value) {
        return {static_cast<char>(value >> 24U), static_cast<char>(value >> 16U),
                static_cast<char>(value >> 8U), static_cast<char>(value)};
    }

private:
    using tcp = boost::asio::ip::tcp;

    awaitable<void> accept_loop() {
        const auto executor = co_await boost::asio::this_coro::executor;
        while (true) {
            auto [error, socket] =
                co_await acceptor_.async_accept(boost::asio::as_tuple(boost::asio::use_awaitable));
            if (error) {
                co_return;
            }
            sockets_.push_back(std::make_shared<tcp::socket>(std::move(socket)));
            boost::asio::co_spawn(executor, serve(sockets_.back()), boost::asio::detached);
        }
    }

    awaitable<void> serve(std::shared_ptr<tcp::socket> socket) {
        constexpr auto as_result = boost::asio::as_tuple(boost::asio::use_awaitable);
        co_await boost::asio::async_write(*socket, boost::asio::buffer(greeting_), as_result);
        std::string received;
        std::array<char, 16'384> buffer{};
        bool replied = false;
        while (true) {
            const auto [error, count] =
                co_await socket->async_read_some(boost::asio::buffer(buffer), as_result);
            if (error) {
                co_return;
            }
            received.append(buffer.data(), count);
            if (!replied && has_request(received)) {
                replied = true;
                co_await boost::asio::async_write(*socket, boost::asio::buffer(reply_), as_result);
                if (close_after_) {
                    socket->shutdown(tcp::socket::shutdown_send);
                    socket->close();
                    co_return;
                }
            }
        }
    }

    static bool has_request(const std::string& bytes) {
        constexpr std::size_t preface_bytes = 24;
        constexpr std::size_t frame_head_bytes = 9;
        std::size_t offset = preface_bytes;
        while (offset + frame_head_bytes <= bytes.size()) {
            const auto byte = [&](std::size_t i) {
                return std::size_t{static_cast<std::uint8_t>(bytes[offset + i])};
            };
            const std::size_t end = offset + frame_head_bytes + (byte(0) << 16U) + (byte(1) << 8U) + byte(2);
            if (byte(3) == 1 && end <= bytes.size()) {
                return true;
            }
            offset = end;
        }
        return false;
    }

    tcp::acceptor acceptor_;
    std::string greeting_;
    std::string reply_;
    bool close_after_;
    std::vector<std::shared_ptr<tcp::socket>> sockets_;
};

}  // namespace teaselpitch
