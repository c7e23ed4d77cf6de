#pragma once

#include <string>
#include <vector>

#include "servers/table/table_diff.h"

namespace teaselpitch {

/// One cell that one or both sides of a conflict changed.
struct conflict_cell {
    row_kind kind = row_kind::service;
    std::string key;
    std::string column;
    std::string base;
    std::string yours;
    std::string theirs;

    bool operator==(const conflict_cell&) const = default;
};

/// Lines up the changes of both sides of a conflict since their common base.
std::vector<conflict_cell> compare_changes(const std::vector<row_difference>& yours,
                                           const std::vector<row_difference>& theirs);

/// A text table with the columns row, column, base, yours and theirs. Cells that both sides changed to the
/// same value are only counted.
std::string format_conflict(const std::vector<conflict_cell>& cells);

}  // namespace teaselpitch
