#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "servers/table/table.h"

namespace teaselpitch {

struct cell_difference {
    std::string column;
    std::string before;  ///< Empty for an added row.
    std::string after;   ///< Empty for a removed row.

    bool operator==(const cell_difference&) const = default;
};

enum class difference_type : std::uint8_t { added, removed, changed };

std::string_view to_string(difference_type type);

/// One row that differs between two tables.
struct row_difference {
    row_kind kind = row_kind::service;
    std::string key;
    difference_type type = difference_type::changed;
    std::vector<cell_difference> cells;  ///< The columns that differ; all but the keys for added and removed.

    bool operator==(const row_difference&) const = default;
};

/// The rows that differ, by kind and key.
std::vector<row_difference> diff_tables(const table& before, const table& after);

/// The changes that make the rows of `before` equal to those of `after`.
std::vector<row_change> changes_between(const table& before, const table& after);

/// One line for the row and its cells.
std::string to_string(const row_difference& difference);

}  // namespace teaselpitch
