#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "servers/table/table.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

/// The text form of a table:
///
///     # version: 12
///     [service]
///     service,availability_zone,weight,...
///     limits,*,100,...
///     [route]
///     ...
///
/// Each kind has one section with a header line, even without rows. Columns may stand in any order; a
/// column that is left out or a blank cell takes the default. Lines that start with '#' are comments;
/// the version is the one that the text was written from. The delimiter is a comma, or a semicolon or a
/// tab when the header line has one, because spreadsheets of some languages write these.
struct parsed_table {
    table value;  ///< The rows without errors; its version is the base version, or 0.
    std::optional<std::uint64_t> base_version;
    std::vector<table_issue> issues;  ///< Errors of the text, the cells and between rows.
};

parsed_table parse_table_csv(std::string_view text);

/// Writes rows in the order of their keys.
std::string write_table_csv(const table& value);

}  // namespace teaselpitch
