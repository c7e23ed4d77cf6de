#include "servers/exchange/field_syntax.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/ascii.h"

namespace teaselpitch {

bool is_token_char(char c) {
    return absl::ascii_isalnum(static_cast<unsigned char>(c)) ||
           (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}

bool is_field_name(std::string_view name) {
    return !name.empty() && std::all_of(name.begin(), name.end(), is_token_char);
}

bool is_field_value(std::string_view value) {
    return std::none_of(value.begin(), value.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return (byte < 0x20 && c != '\t') || byte == 0x7f;
    });
}

std::optional<std::uint64_t> parse_decimal(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (text.empty() || error != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

std::optional<std::string> find_response_error(const response_head& head) {
    constexpr unsigned lowest_final_status = 200;
    constexpr unsigned highest_status = 999;
    if (head.status < lowest_final_status || head.status > highest_status) {
        return "the status " + std::to_string(head.status) + " is not that of an answer";
    }
    if (!is_field_value(head.reason)) {
        return "the reason phrase contains a control byte";
    }
    for (const header_field& field : head.headers) {
        if (!is_field_name(field.name)) {
            return "a field name is empty or contains a byte that is not allowed";
        }
        if (!is_field_value(field.value)) {
            return "a field value contains a control byte";
        }
    }
    return std::nullopt;
}

}  // namespace teaselpitch
