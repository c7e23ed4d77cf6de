#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstddef>

#include "absl/status/statusor.h"
#include "core/identity.h"

namespace teaselpitch {

namespace net = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using net::ip::tcp;

/// Limit of the bytes that are received and not yet parsed. A parser that waits for the end of a line would
/// otherwise keep all bytes of a peer that never sends one.
constexpr std::size_t max_unparsed_bytes = std::size_t{128} * 1024;

/// Completion token that returns a tuple whose first element is the error code.
constexpr auto tuple_awaitable = net::as_tuple(net::use_awaitable);

/// Converts an endpoint to its Asio type. Fails with InvalidArgument when the address is not a numeric IP
/// address.
absl::StatusOr<tcp::endpoint> to_tcp_endpoint(const endpoint& value);

/// Opens a listening socket; port 0 selects a free port. Fails with Unavailable when the address cannot be
/// bound.
absl::StatusOr<tcp::acceptor> open_acceptor(const net::any_io_executor& executor, const endpoint& listen,
                                            bool reuse_port);

/// Sets the sizes of the kernel's buffers of the connections that the listener accepts; 0 leaves them to the
/// system.
void set_buffer_sizes(tcp::acceptor& acceptor, int bytes);

/// Enables TCP keep-alive probes, which fail an idle connection within about three seconds when the peer does
/// not respond.
void enable_keep_alive_probes(tcp::socket& socket);

/// Closes the socket with a TCP reset, so that the peer cannot mistake its data for a complete message.
void reset_socket(tcp::socket& socket);

}  // namespace teaselpitch
