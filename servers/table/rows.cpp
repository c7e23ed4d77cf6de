#include "servers/table/rows.h"

#include <algorithm>
#include <cstddef>

namespace teaselpitch {
namespace {

constexpr std::array<std::string_view, 3> kind_names{"service", "route", "account"};
constexpr std::array<std::string_view, 3> rule_names{"auto", "yes", "no"};
// A blank default, because nodes that do not know the column accept only blank cells in it.
constexpr std::array<std::string_view, 2> access_names{"", "everyone"};

}  // namespace

std::string_view to_string(row_kind kind) {
    return kind_names[static_cast<std::size_t>(kind)];
}

std::optional<row_kind> parse_row_kind(std::string_view text) {
    const auto* found = std::find(kind_names.begin(), kind_names.end(), text);
    if (found == kind_names.end()) {
        return std::nullopt;
    }
    return static_cast<row_kind>(found - kind_names.begin());
}

std::string format_key(row_kind kind, row_key key) {
    std::string text(key.first);
    if (kind != row_kind::route) {
        text += '/';
    }
    text += key.second;
    return text;
}

std::string_view to_string(non_idempotent_rule value) {
    return rule_names[static_cast<std::size_t>(value)];
}

std::string_view to_string(route_access value) {
    return access_names[static_cast<std::size_t>(value)];
}

row_kind kind_of(const any_row& row) {
    return std::visit([](const auto& value) { return value.kind; }, row);
}

row_key key_of(const any_row& row) {
    return std::visit([](const auto& value) { return value.key(); }, row);
}

}  // namespace teaselpitch
