#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "modules/history/history.h"

namespace teaselpitch {

/// Appends the version, the floors and the ejected targets that a node's /v1/status reports.
absl::Status add_status_sample(std::string_view status, history_time when, history& into,
                               std::set<std::string>& ejected);

/// Appends the lines of a stand-in target's /_executions.
absl::Status add_executions(std::string_view lines, const std::string& target, history& into);

/// Appends the lines of the file of events: killed (name), accepted_edit (version, when) and leave (name,
/// announced, stopped), times in microseconds of the monotonic clock.
absl::Status add_events(std::string_view lines, history& into);

/// Fills the echoed key of answers that name another send of this run but don't repeat its key, as error
/// answers of the stand-in do. A stored answer of a key carries the call id of the send that ran.
void resolve_answer_keys(std::vector<call_record>& calls);

}  // namespace teaselpitch
