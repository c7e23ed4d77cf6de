#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "absl/status/statusor.h"
#include "core/identity.h"

namespace teaselpitch {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::ip::tcp;

/// Completion token: the awaited value is a tuple that starts with the error code.
constexpr auto tuple_awaitable = net::as_tuple(net::use_awaitable);

/// The endpoint in Asio's form; fails when the address is not an IP number.
absl::StatusOr<tcp::endpoint> to_tcp_endpoint(const endpoint& value);

/// Opens a listening socket; port 0 takes a free port.
absl::StatusOr<tcp::acceptor> open_acceptor(const net::any_io_executor& executor, const endpoint& listen,
                                            bool reuse_port);

/// Makes the kernel probe a quiet connection and fail it within about three seconds when nothing answers.
void set_keep_alive_probes(tcp::socket& socket);

/// Closes the socket with a reset, so that the peer can't take its data for a whole message.
void reset_socket(tcp::socket& socket);

}  // namespace teaselpitch
