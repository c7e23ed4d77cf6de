#include "drivers/http/caller_context.h"

#include <utility>

namespace teaselpitch {

caller_context::caller_context(caller_server_options options_in, exchange_handler& handler_in,
                               const time_source& clock_in, std::function<std::string()> new_request_id_in)
    : options(std::move(options_in)),
      handler(handler_in),
      clock(clock_in),
      new_request_id(std::move(new_request_id_in)) {}

}  // namespace teaselpitch
