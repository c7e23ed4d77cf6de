#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"
#include "servers/records/outcome_counters.h"

namespace teaselpitch {

/// Service-level objective from the row of a service in the configuration table.
struct service_objective {
    double good_share = 0.999;               ///< Minimum share of good answers, 0..1.
    std::chrono::milliseconds latency{500};  ///< An answer that takes longer counts as slow.
};

/// Outcome counts of one node since it started, as seen by the callers of that node.
struct node_outcome_counts {
    std::string node;
    std::vector<outcome_window> windows;
    std::vector<outcome_minute> minutes;
    std::map<std::string, service_objective> objectives;
};

/// Error budget use of one service in one availability zone and time window.
struct burn_row {
    std::string service;
    std::string availability_zone;  ///< "*" for the sum over all availability zones.
    std::chrono::minutes window{0};
    outcome_counts counts{};
    std::uint64_t total = 0;  ///< Answers, without those that failed because of a caller fault.
    std::uint64_t bad = 0;    ///< Answers that consume the error budget.
    double burn_rate = 0;     ///< Bad share divided by the allowed share; 1 consumes exactly the budget.
    double budget_left = 1;   ///< Remaining share of the budget of the window; negative when overspent.
};

struct burn_point {
    std::chrono::minutes age;
    double bad_share = 0;
    std::uint64_t total = 0;
};

struct burn_report {
    std::vector<burn_row> rows;  ///< Sorted by service, availability zone and window.
    std::map<std::string, std::vector<burn_point>> series;  ///< By service; points are sorted oldest first.
    std::map<std::string, service_objective> objectives;
    std::vector<std::string> nodes;          ///< Nodes that answered.
    std::vector<std::string> missing_nodes;  ///< Nodes that did not answer; their counts are not in the rows.
};

/// Returns the time windows of the report: 5 minutes, 1 hour, 6 hours and 1 day.
std::vector<std::chrono::minutes> burn_report_windows();

/// Writes and parses the JSON of the admin path /v1/burn. Parsing returns InvalidArgument for malformed
/// input.
std::string write_node_counts_json(const node_outcome_counts& value);
absl::StatusOr<node_outcome_counts> parse_node_counts_json(std::string_view json);

/// Sums the counts of several nodes into a report.
burn_report merge_node_counts(const std::vector<node_outcome_counts>& nodes,
                              std::vector<std::string> missing_nodes);

std::string format_burn_text(const burn_report& report);
std::string format_burn_json(const burn_report& report);

/// Writes a self-contained HTML page with a table and one plot for each service.
std::string format_burn_html(const burn_report& report);

}  // namespace teaselpitch
