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

/// Longest request line or field line, in bytes.
constexpr std::size_t max_header_line = 8192;

/// Checks what the Beast parser tolerates in a header block that may still be incomplete: control bytes,
/// bare CR or LF, folded lines and oversized lines. Returns the fault, or nothing.
std::optional<std::string> find_header_fault(std::string_view block);

/// True for fields that concern one connection only; names compare without regard to case.
bool is_hop_by_hop(std::string_view name);

/// True for fields that the fleet itself writes on answers.
bool is_fleet_answer_field(std::string_view name);

/// The end-to-end fields: without hop-by-hop fields, those that Connection names, and Content-Length.
std::vector<header_field> end_to_end_fields(const boost::beast::http::fields& fields);

/// Checks the header against the rules of docs/design.md and builds the request head. The caller's time
/// limit is cut to max_timeout. Fails with InvalidArgument and a sentence for the caller.
absl::StatusOr<request_head> make_request_head(
    const boost::beast::http::header<true, boost::beast::http::fields>& header, steady_time now,
    std::chrono::milliseconds max_timeout, const http_dialect& dialect = {});

}  // namespace teaselpitch
