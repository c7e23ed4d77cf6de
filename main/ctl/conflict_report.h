#pragma once

#include <string>
#include <vector>

#include "servers/table/table_diff.h"

namespace teaselpitch {

/// A table cell that at least one side of an edit conflict changed.
struct conflict_cell {
    row_kind kind = row_kind::service;
    std::string key;
    std::string column;
    std::string base;
    std::string yours;
    std::string theirs;

    bool operator==(const conflict_cell&) const = default;
};

/// Combines the changes that both sides of a conflict made to their common base, one entry for each cell.
std::vector<conflict_cell> compare_changes(const std::vector<row_difference>& yours,
                                           const std::vector<row_difference>& theirs);

/// Formats a text table with the columns row, column, base, yours and theirs. Cells that both sides changed
/// to the same value are counted in a final line instead of listed.
std::string format_conflict(const std::vector<conflict_cell>& cells);

}  // namespace teaselpitch
