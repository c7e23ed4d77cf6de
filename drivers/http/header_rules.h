#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "core/clock.h"
#include "servers/exchange/exchange.h"
#include "servers/exchange/http_dialect.h"

namespace teaselpitch {

/// Maximum length of the request line and of a field line, in bytes.
constexpr std::size_t max_header_line_bytes = 8192;

/// Finds errors that the Beast parser accepts, in a header block that may still be incomplete: control bytes,
/// bare CR or LF, folded lines and too long lines. Returns a description of the error; empty without one.
std::optional<std::string> find_header_error(std::string_view block);

/// True for fields that apply to one connection only. Names are case-insensitive.
bool is_hop_by_hop(std::string_view name);

/// True for fields that the fleet adds to answers. Names are case-insensitive.
bool is_fleet_answer_field(std::string_view name);

/// Returns the end-to-end fields: all except hop-by-hop fields, fields listed in Connection, and
/// Content-Length.
std::vector<header_field> end_to_end_fields(const boost::beast::http::fields& fields);

/// Checks the header against the rules of docs/design.md and builds the request head. The caller's timeout is
/// limited to max_timeout. Fails with InvalidArgument and a description for the caller.
absl::StatusOr<request_head> make_request_head(
    const boost::beast::http::header<true, boost::beast::http::fields>& header, steady_time now,
    std::chrono::milliseconds max_timeout, const http_dialect& dialect = {});

}  // namespace teaselpitch
