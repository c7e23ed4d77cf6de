#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "servers/table/rows.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

enum class column_type : std::uint8_t {
    name,         ///< Letters, digits, '.', '_' and '-'.
    name_or_any,  ///< A name or '*'.
    token,        ///< Printable ASCII except space, '"', ',', ';', '*', '#' and '['.
    host,         ///< Lower-case host name without a port, or '*'.
    path,         ///< Path that starts with '/', without query, spaces and control characters.
    integer,
    decimal,
    choice,
};

/// Description of a column. Controls parsing, validation, the text form and the documentation.
struct column {
    std::string_view name;
    column_type type = column_type::name;
    bool key = false;
    bool required = false;  ///< A blank cell is an error if true, otherwise it takes the default.
    double minimum = 0;     ///< Minimum number, or minimum length of a text.
    double maximum = 0;     ///< Maximum number, or maximum length of a text.
    std::span<const std::string_view> choices;
    std::string default_text;
    std::string_view doc;
};

/// Columns of a kind, in the order of the cells in log records.
const std::vector<column>& columns_of(row_kind kind);

/// Describes the values that a column accepts, for messages and documentation.
std::string describe_values(const column& description);

/// Parses one row from cells in column order. Missing and blank cells take their defaults. Adds one issue for
/// each invalid cell and uses the default instead.
any_row parse_row(row_kind kind, std::span<const std::string> cells, std::vector<table_issue>& issues);

/// Parses only the key cells, for the removal of a row.
any_row parse_row_key(row_kind kind, std::span<const std::string> cells, std::vector<table_issue>& issues);

/// Canonical text of each cell in column order. parse_row converts it to an equal row.
std::vector<std::string> cells_of(const any_row& row);

/// Documentation of all columns: each kind with its columns, their values, defaults and meanings.
std::string describe_columns();

}  // namespace teaselpitch
