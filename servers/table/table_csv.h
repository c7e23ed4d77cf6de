#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "servers/table/table.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

/// Result of parsing the text form of a table:
///
///     # version: 12
///     [service]
///     service,availability_zone,weight,...
///     limits,*,100,...
///     [route]
///     ...
///
/// Each kind has one section with a header line, even without rows. Columns may be in any order; an omitted
/// column or a blank cell takes the default. Lines that start with '#' are comments; the version comment is
/// the version that the text was written from. The delimiter is a semicolon or a tab if the header line has
/// one, because spreadsheets in some locales write these, otherwise a comma.
struct parsed_table {
    table value;  ///< Rows without errors; the version is the base version, or 0 without one.
    std::optional<std::uint64_t> base_version;
    std::vector<table_issue> issues;  ///< Errors in the text, in cells and between rows.
};

parsed_table parse_table_csv(std::string_view text);

/// Writes the text form with rows in the order of their keys.
std::string write_table_csv(const table& value);

}  // namespace teaselpitch
