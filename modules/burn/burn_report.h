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

/// The service level that a service's row of the table sets.
struct service_objective {
    double good_share = 0.999;               ///< Share of answers that must be good, 0..1.
    std::chrono::milliseconds latency{500};  ///< A later answer is slow.
};

/// What one node counted since it started. Counts are what callers saw at this node.
struct node_burn {
    std::string node;
    std::vector<outcome_window> windows;
    std::vector<outcome_minute> minutes;
    std::map<std::string, service_objective> objectives;
};

/// One line of the report.
struct burn_row {
    std::string service;
    std::string availability_zone;  ///< "*" is the sum of all availability zones.
    std::chrono::minutes window{0};
    outcome_counts counts{};
    std::uint64_t total = 0;  ///< Answers that count: all but the callers' own faults.
    std::uint64_t bad = 0;    ///< Answers that use the error budget.
    double burn_rate = 0;     ///< Bad share over the allowed share; 1 uses the budget exactly.
    double budget_left = 1;   ///< Share of the window's budget that is left; negative when overspent.
};

struct burn_point {
    std::chrono::minutes age;
    double bad_share = 0;
    std::uint64_t total = 0;
};

struct burn_report {
    std::vector<burn_row> rows;                             ///< By service, zone and window.
    std::map<std::string, std::vector<burn_point>> series;  ///< By service, oldest first.
    std::map<std::string, service_objective> objectives;
    std::vector<std::string> nodes;          ///< Nodes that answered.
    std::vector<std::string> missing_nodes;  ///< Nodes that did not answer; their counts are not in the rows.
};

/// The windows of the report: 5 minutes, 1 hour, 6 hours and 1 day.
std::vector<std::chrono::minutes> burn_windows();

/// The JSON of the admin path /v1/burn.
std::string write_node_burn(const node_burn& value);
absl::StatusOr<node_burn> read_node_burn(std::string_view json);

/// Joins the counts of several nodes.
burn_report join_burn(const std::vector<node_burn>& nodes, std::vector<std::string> missing_nodes);

std::string write_burn_text(const burn_report& report);
std::string write_burn_json(const burn_report& report);

/// A self-contained page with a table and one plot for each service.
std::string write_burn_html(const burn_report& report);

}  // namespace teaselpitch
