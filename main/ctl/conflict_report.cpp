#include "main/ctl/conflict_report.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <tuple>

namespace teaselpitch {
namespace {

constexpr const char* absent_row_text = "(no row)";

using cell_key = std::tuple<row_kind, std::string, std::string>;
using cell_map = std::map<cell_key, conflict_cell>;

// Adds the changes of one side to the cells. `side` is the member for that side. A cell that is new to the
// map gets its base value in `other`, the member of the side that may not have changed it.
void add_side_changes(cell_map& cells, const std::vector<row_difference>& differences,
                      std::string conflict_cell::*side, std::string conflict_cell::*other) {
    for (const row_difference& difference : differences) {
        for (const cell_difference& cell : difference.cells) {
            const bool added = difference.type == difference_type::added;
            const bool removed = difference.type == difference_type::removed;
            const std::string before = added ? absent_row_text : cell.old_value;
            auto [entry, is_new] = cells.try_emplace(
                cell_key{difference.kind, difference.key, cell.column},
                conflict_cell{difference.kind, difference.key, cell.column, before, "", ""});
            if (is_new) {
                entry->second.*other = before;
            }
            entry->second.*side = removed ? absent_row_text : cell.new_value;
        }
    }
}

}  // namespace

std::vector<conflict_cell> compare_changes(const std::vector<row_difference>& yours,
                                           const std::vector<row_difference>& theirs) {
    cell_map cells;
    add_side_changes(cells, yours, &conflict_cell::yours, &conflict_cell::theirs);
    add_side_changes(cells, theirs, &conflict_cell::theirs, &conflict_cell::yours);
    std::vector<conflict_cell> result;
    for (auto& [key, cell] : cells) {
        result.push_back(std::move(cell));
    }
    return result;
}

std::string format_conflict(const std::vector<conflict_cell>& cells) {
    using line = std::array<std::string, 5>;
    std::vector<line> lines{{"row", "column", "base", "yours", "theirs"}};
    std::size_t identical_changes = 0;
    for (const conflict_cell& cell : cells) {
        if (cell.yours == cell.theirs) {
            ++identical_changes;
            continue;
        }
        lines.push_back({std::string(to_string(cell.kind)) + " " + cell.key, cell.column, cell.base,
                         cell.yours, cell.theirs});
    }
    std::array<std::size_t, 5> widths{};
    for (const line& current : lines) {
        for (std::size_t i = 0; i < widths.size(); ++i) {
            widths[i] = std::max(widths[i], current[i].size());
        }
    }
    std::string text;
    for (const line& current : lines) {
        for (std::size_t i = 0; i + 1 < widths.size(); ++i) {
            text += fmt::format("{:<{}}  ", current[i], widths[i]);
        }
        text += current.back() + "\n";
    }
    if (identical_changes > 0) {
        text += fmt::format("{} cells were changed to the same value on both sides\n", identical_changes);
    }
    return text;
}

}  // namespace teaselpitch
