#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>

#include "core/identity.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Returns true when a TCP connection to the address is accepted within the time. The connection is closed at
/// once.
awaitable<bool> accepts_connections(boost::asio::any_io_executor executor, endpoint address,
                                    std::chrono::milliseconds timeout);

}  // namespace teaselpitch
