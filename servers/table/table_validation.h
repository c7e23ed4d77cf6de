#pragma once

#include <span>
#include <vector>

#include "servers/table/table.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

/// Returns all errors of a table: invalid cells and contradictions between rows.
std::vector<table_issue> validate_table(const table& value);

/// Returns all errors of changes to a valid table: duplicate keys, removals of rows that do not exist, and
/// contradictions in the resulting table. Checks only the rows that the changes can affect. Requires cells
/// that were validated when they were parsed.
std::vector<table_issue> validate_changes(const table& before, std::span<const row_change> changes,
                                          const table& after);

/// Returns the contradictions between rows whose cells are valid, such as a reference to a missing service.
std::vector<table_issue> find_contradictions(const table& value);

/// Returns the keys that occur more than once.
std::vector<table_issue> find_duplicates(std::span<const row_change> changes);

}  // namespace teaselpitch
