#include "servers/table/table_diff.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <tuple>

#include "servers/table/columns.h"

namespace teaselpitch {
namespace {

constexpr std::array<std::string_view, 3> type_names{"added", "removed", "changed"};

template <typename Row>
row_difference make_difference(const Row* before, const Row* after) {
    const Row& row = after != nullptr ? *after : *before;
    const auto type = before == nullptr  ? difference_type::added
                      : after == nullptr ? difference_type::removed
                                         : difference_type::changed;
    row_difference result{Row::kind, format_key(Row::kind, row.key()), type, {}};
    const std::vector<column>& columns = columns_of(Row::kind);
    const auto blank = std::vector<std::string>(columns.size());
    const auto old_cells = before != nullptr ? cells_of(*before) : blank;
    const auto new_cells = after != nullptr ? cells_of(*after) : blank;
    for (std::size_t i = 0; i < columns.size(); ++i) {
        if (!columns[i].key && old_cells[i] != new_cells[i]) {
            result.cells.push_back({std::string(columns[i].name), old_cells[i], new_cells[i]});
        }
    }
    return result;
}

template <typename Row, typename Visitor>
void visit_kind_differences(const table& before, const table& after, Visitor& visit) {
    row_store<Row>::for_each_difference(before.rows<Row>(), after.rows<Row>(), visit);
}

template <typename Visitor>
void visit_differences(const table& before, const table& after, Visitor visit) {
    visit_kind_differences<service_row>(before, after, visit);
    visit_kind_differences<route_row>(before, after, visit);
    visit_kind_differences<account_row>(before, after, visit);
}

}  // namespace

std::string_view to_string(difference_type type) {
    return type_names[static_cast<std::size_t>(type)];
}

std::vector<row_difference> diff_tables(const table& before, const table& after) {
    std::vector<row_difference> differences;
    visit_differences(before, after, [&differences](const auto* old_row, const auto* new_row) {
        differences.push_back(make_difference(old_row, new_row));
    });
    std::sort(differences.begin(), differences.end(), [](const auto& left, const auto& right) {
        return std::tie(left.kind, left.key) < std::tie(right.kind, right.key);
    });
    return differences;
}

std::vector<row_change> changes_between(const table& before, const table& after) {
    std::vector<row_change> changes;
    visit_differences(before, after, [&changes](const auto* old_row, const auto* new_row) {
        changes.push_back({any_row(new_row != nullptr ? *new_row : *old_row), new_row == nullptr});
    });
    std::sort(changes.begin(), changes.end(), [](const row_change& left, const row_change& right) {
        return std::tuple(kind_of(left.row), key_of(left.row)) <
               std::tuple(kind_of(right.row), key_of(right.row));
    });
    return changes;
}

std::string to_string(const row_difference& difference) {
    std::string text(to_string(difference.type));
    text += " " + std::string(to_string(difference.kind)) + " " + difference.key;
    for (const cell_difference& cell : difference.cells) {
        text += " " + cell.column + "=";
        if (difference.type == difference_type::changed) {
            text += cell.old_value + "->" + cell.new_value;
        } else {
            text += difference.type == difference_type::added ? cell.new_value : cell.old_value;
        }
    }
    return text;
}

}  // namespace teaselpitch
