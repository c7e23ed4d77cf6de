#pragma once

#include <string>
#include <string_view>

#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

/// What an error answer says beside the result of the exchange.
struct error_reply_context {
    std::string_view request_id;            ///< Omitted when empty.
    std::string_view node;                  ///< Omitted when empty.
    bool close = false;                     ///< Adds Connection: close.
    bool keep_alive = false;                ///< Adds Connection: keep-alive, for HTTP/1.0 callers.
    bool head_only = false;                 ///< The request was HEAD: no body is sent.
    const http_dialect* dialect = nullptr;  ///< The project's own interface when null.
};

/// Text as a JSON string with its quotes; bytes that are not UTF-8 are replaced.
std::string json_quote(std::string_view text);

/// The whole HTTP/1.1 answer for a failed exchange, from the table of error kinds.
std::string format_error_reply(const exchange_result& result, const error_reply_context& context);

}  // namespace teaselpitch
