#include "drivers/http/listen_probe.h"

#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

#include "drivers/http/asio_types.h"

namespace teaselpitch {

awaitable<bool> accepts_connections(boost::asio::any_io_executor executor, endpoint address,
                                    std::chrono::milliseconds timeout) {
    const absl::StatusOr<tcp::endpoint> target = to_tcp_endpoint(address);
    if (!target.ok()) {
        co_return false;
    }
    beast::tcp_stream stream(std::move(executor));
    stream.expires_after(timeout);
    auto [error] = co_await stream.async_connect(*target, tuple_awaitable);
    co_return !error;
}

}  // namespace teaselpitch
