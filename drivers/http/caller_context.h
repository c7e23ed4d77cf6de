#pragma once

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "core/clock.h"
#include "drivers/http/caller_server.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

class caller_connection;

/// State that all connections of one caller_server share.
struct caller_context {
    caller_context(caller_server_options options_in, exchange_handler& handler_in,
                   const time_source& clock_in, std::function<std::string()> new_request_id_in);

    caller_server_options options;
    exchange_handler& handler;
    const time_source& clock;
    std::function<std::string()> new_request_id;
    std::set<std::shared_ptr<caller_connection>> connections;
    std::atomic<std::size_t> open_exchanges = 0;
    bool draining = false;
};

}  // namespace teaselpitch
