#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// True for characters of a token (RFC 9110 section 5.6.2), which field names consist of.
bool is_token_char(char c);

/// True when the text is a valid field name: a token that is not empty.
bool is_field_name(std::string_view name);

/// True when the text contains no control byte except tabs. It applies to field values and reason phrases.
bool is_field_value(std::string_view value);

/// Parses a decimal number that consists of digits only; empty for signs, blanks and overflow.
std::optional<std::uint64_t> parse_decimal(std::string_view text);

/// Describes why the head is not that of a final answer that can be forwarded: its status is outside of 200
/// to 999, or a field is malformed. Empty without such an error.
std::optional<std::string> find_response_error(const response_head& head);

}  // namespace teaselpitch
