#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "modules/history/history.h"

namespace teaselpitch {

/// Appends the version, capacities and ejected targets from a node's /v1/status response.
absl::Status add_status_sample(std::string_view status, history_time when, history& recorded,
                               std::set<std::string>& ejected);

/// Appends the executions from the lines of a stand-in target's /_executions response.
absl::Status add_executions(std::string_view lines, const std::string& target, history& recorded);

/// Appends the events that scripts recorded, one JSON object per line: killed (name), accepted_edit (version,
/// when) and leave (name, announced, stopped). Times are microseconds of the monotonic clock.
absl::Status add_events(std::string_view lines, history& recorded);

/// Sets answer_key for answers that echo only a call id, such as error answers of the stand-in target. The
/// key is that of the call with the echoed id: a stored answer for a key has the call id of the request that
/// was executed.
void resolve_answer_keys(std::vector<call_record>& calls);

}  // namespace teaselpitch
