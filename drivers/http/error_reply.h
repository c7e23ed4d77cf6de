#pragma once

#include <string>
#include <string_view>

#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

/// Properties of an error answer that are not part of the exchange result.
struct error_reply_context {
    std::string_view request_id;            ///< Omitted when empty.
    std::string_view node;                  ///< Omitted when empty.
    bool close = false;                     ///< Adds Connection: close.
    bool keep_alive = false;                ///< Adds Connection: keep-alive, which HTTP/1.0 callers need.
    bool head_only = false;                 ///< The request method is HEAD, so no body is sent.
    const http_dialect* dialect = nullptr;  ///< The default dialect when null.
};

/// Formats text as a quoted JSON string; bytes that are not ASCII are replaced by question marks.
std::string json_quote(std::string_view text);

/// Returns the result that is reported to the caller when the handler wrote no head.
exchange_result to_error_result(const exchange_result& result);

/// Formats the HTTP/1.1 answer to a failed exchange, with the values of get_error_answer().
std::string format_error_reply(const exchange_result& result, const error_reply_context& context);

}  // namespace teaselpitch
