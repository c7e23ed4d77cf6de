#pragma once

#include <vector>

#include "core/json.h"
#include "main/ctl/log_session.h"
#include "servers/table/table.h"
#include "servers/table/table_diff.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

/// Returns an object with one member for each column. Numeric cells become JSON numbers.
boost::json::object to_json(const any_row& row);

/// {"version":N,"service":[...],"route":[...],"account":[...]}
boost::json::object to_json(const table& value);

boost::json::array to_json(const std::vector<row_difference>& differences);
boost::json::array to_json(const std::vector<table_issue>& issues);
boost::json::array to_json(const std::vector<history_entry>& entries);
boost::json::object to_json(const edit_result& result);

}  // namespace teaselpitch
