#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "servers/table/rows.h"

namespace teaselpitch {

/// Reason for which a table, a row or an edit is refused.
struct table_issue {
    row_kind kind = row_kind::service;
    std::string key;     ///< Text of the row's key; empty when the issue does not concern one row.
    std::string column;  ///< Empty when the issue concerns the whole row.
    std::string reason;
    std::size_t line = 0;  ///< Line of the text form, starting at 1; 0 when there is none.

    bool operator==(const table_issue&) const = default;
};

/// Formats an issue as one line: line, kind, key, column and reason.
std::string to_string(const table_issue& issue);

/// Formats at most `limit` issues for a message and appends the number of the others.
std::string to_string(const std::vector<table_issue>& issues, std::size_t limit = 5);

}  // namespace teaselpitch
