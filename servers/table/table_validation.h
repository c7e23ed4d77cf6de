#pragma once

#include <span>
#include <vector>

#include "servers/table/table.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

/// Every error of a table: cells out of range and contradictions between rows.
std::vector<table_issue> validate_table(const table& value);

/// Every error of changes to a valid table: duplicate keys, removal of rows that do not exist, and the
/// contradictions of the result. Looks only at what the changes can affect. The cells of the changes
/// must have been checked when they were parsed.
std::vector<table_issue> validate_changes(const table& before, std::span<const row_change> changes,
                                          const table& after);

/// Contradictions between rows whose cells are valid.
std::vector<table_issue> find_contradictions(const table& value);

/// Keys that occur more than once.
std::vector<table_issue> find_duplicates(std::span<const row_change> changes);

}  // namespace teaselpitch
