#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "servers/table/table.h"

namespace teaselpitch {

struct cell_difference {
    std::string column;
    std::string old_value;  ///< Empty for an added row.
    std::string new_value;  ///< Empty for a removed row.

    bool operator==(const cell_difference&) const = default;
};

enum class difference_type : std::uint8_t { added, removed, changed };

std::string_view to_string(difference_type type);

/// One row that differs between two tables.
struct row_difference {
    row_kind kind = row_kind::service;
    std::string key;
    difference_type type = difference_type::changed;
    std::vector<cell_difference> cells;  ///< Columns that differ; added and removed rows list all columns
                                         ///< with a value except the keys.

    bool operator==(const row_difference&) const = default;
};

/// Returns the rows that differ, sorted by kind and key.
std::vector<row_difference> diff_tables(const table& before, const table& after);

/// Returns the changes that make the rows of `before` equal to those of `after`.
std::vector<row_change> changes_between(const table& before, const table& after);

/// Formats the row and its cells as one line.
std::string to_string(const row_difference& difference);

}  // namespace teaselpitch
