#include "modules/burn/burn_report.h"

#include <algorithm>
#include <boost/json.hpp>
#include <exception>
#include <tuple>

namespace teaselpitch {
namespace {

namespace json = boost::json;

json::object counts_to_json(const outcome_counts& counts) {
    json::object object;
    for (std::size_t i = 0; i < outcome_count; ++i) {
        object[to_string(static_cast<outcome>(i))] = counts[i];
    }
    return object;
}

outcome_counts counts_from_json(const json::object& object) {
    outcome_counts counts{};
    for (std::size_t i = 0; i < outcome_count; ++i) {
        // A node that runs an older version may not report every outcome.
        if (const auto* value = object.if_contains(to_string(static_cast<outcome>(i)))) {
            counts[i] = value->to_number<std::uint64_t>();
        }
    }
    return counts;
}

std::string text(const json::object& object, std::string_view key) {
    return std::string(object.at(key).as_string());
}

node_outcome_counts node_counts_from_json(const json::object& object) {
    node_outcome_counts result;
    result.node = text(object, "node");
    for (const json::value& entry : object.at("windows").as_array()) {
        const json::object& window = entry.as_object();
        result.windows.push_back({text(window, "service"), text(window, "zone"),
                                  std::chrono::minutes{window.at("minutes").to_number<std::int64_t>()},
                                  counts_from_json(window.at("counts").as_object())});
    }
    for (const json::value& entry : object.at("minutes").as_array()) {
        const json::object& minute = entry.as_object();
        result.minutes.push_back({text(minute, "service"), text(minute, "zone"),
                                  std::chrono::minutes{minute.at("age").to_number<std::int64_t>()},
                                  counts_from_json(minute.at("counts").as_object())});
    }
    for (const auto& entry : object.at("objectives").as_object()) {
        const json::object& objective = entry.value().as_object();
        result.objectives[std::string(entry.key())] = {
            objective.at("good_share").to_number<double>(),
            std::chrono::milliseconds{objective.at("latency_ms").to_number<std::int64_t>()}};
    }
    return result;
}

std::uint64_t count_of(const outcome_counts& counts, outcome value) {
    return counts[static_cast<std::size_t>(value)];
}

std::uint64_t count_answers(const outcome_counts& counts) {
    std::uint64_t total = 0;
    for (const std::uint64_t count : counts) {
        total += count;
    }
    return total - count_of(counts, outcome::caller_fault);
}

std::uint64_t count_bad_answers(const outcome_counts& counts) {
    return count_answers(counts) - count_of(counts, outcome::good);
}

void add_counts(outcome_counts& into, const outcome_counts& from) {
    for (std::size_t i = 0; i < outcome_count; ++i) {
        into[i] += from[i];
    }
}

void compute_burn_rate(burn_row& row, const service_objective& objective) {
    row.total = count_answers(row.counts);
    row.bad = count_bad_answers(row.counts);
    const double allowed = std::max(1.0 - objective.good_share, 1e-9);
    const double share = row.total == 0 ? 0 : static_cast<double>(row.bad) / static_cast<double>(row.total);
    row.burn_rate = share / allowed;
    row.budget_left = 1.0 - row.burn_rate;
}

using row_key = std::tuple<std::string, std::string, std::chrono::minutes>;

std::vector<burn_row> build_rows(const std::map<row_key, outcome_counts>& sums,
                                 const std::map<std::string, service_objective>& objectives) {
    std::vector<burn_row> rows;
    for (const auto& [key, counts] : sums) {
        burn_row row;
        std::tie(row.service, row.availability_zone, row.window) = key;
        row.counts = counts;
        const auto objective = objectives.find(row.service);
        compute_burn_rate(row, objective == objectives.end() ? service_objective{} : objective->second);
        rows.push_back(std::move(row));
    }
    return rows;
}

std::vector<burn_point> build_series(const std::map<std::chrono::minutes, outcome_counts>& minutes) {
    std::vector<burn_point> points;
    for (auto entry = minutes.rbegin(); entry != minutes.rend(); ++entry) {
        const std::uint64_t total = count_answers(entry->second);
        const double share =
            total == 0 ? 0
                       : static_cast<double>(count_bad_answers(entry->second)) / static_cast<double>(total);
        points.push_back({entry->first, share, total});
    }
    return points;
}

}  // namespace

std::vector<std::chrono::minutes> burn_report_windows() {
    using namespace std::chrono_literals;
    return {5min, 60min, 360min, 1440min};
}

std::string write_node_counts_json(const node_outcome_counts& value) {
    json::array windows;
    for (const outcome_window& window : value.windows) {
        windows.push_back(json::object{{"service", window.service},
                                       {"zone", window.availability_zone},
                                       {"minutes", window.length.count()},
                                       {"counts", counts_to_json(window.counts)}});
    }
    json::array minutes;
    for (const outcome_minute& minute : value.minutes) {
        minutes.push_back(json::object{{"service", minute.service},
                                       {"zone", minute.availability_zone},
                                       {"age", minute.age.count()},
                                       {"counts", counts_to_json(minute.counts)}});
    }
    json::object objectives;
    for (const auto& [service, objective] : value.objectives) {
        objectives[service] =
            json::object{{"good_share", objective.good_share}, {"latency_ms", objective.latency.count()}};
    }
    return json::serialize(json::object{
        {"node", value.node}, {"windows", windows}, {"minutes", minutes}, {"objectives", objectives}});
}

absl::StatusOr<node_outcome_counts> parse_node_counts_json(std::string_view text) {
    try {
        return node_counts_from_json(json::parse(text).as_object());
    } catch (const std::exception& error) {
        return absl::InvalidArgumentError(std::string("invalid /v1/burn response: ") + error.what());
    }
}

burn_report merge_node_counts(const std::vector<node_outcome_counts>& nodes,
                              std::vector<std::string> missing_nodes) {
    burn_report report;
    report.missing_nodes = std::move(missing_nodes);
    std::map<row_key, outcome_counts> sums;
    std::map<std::string, std::map<std::chrono::minutes, outcome_counts>> minutes;
    for (const node_outcome_counts& node : nodes) {
        report.nodes.push_back(node.node);
        report.objectives.insert(node.objectives.begin(), node.objectives.end());
        for (const outcome_window& window : node.windows) {
            add_counts(sums[{window.service, window.availability_zone, window.length}], window.counts);
            add_counts(sums[{window.service, "*", window.length}], window.counts);
        }
        for (const outcome_minute& minute : node.minutes) {
            add_counts(minutes[minute.service][minute.age], minute.counts);
        }
    }
    report.rows = build_rows(sums, report.objectives);
    for (const auto& [service, entries] : minutes) {
        report.series[service] = build_series(entries);
    }
    return report;
}

std::string format_burn_json(const burn_report& report) {
    json::array rows;
    for (const burn_row& row : report.rows) {
        rows.push_back(json::object{{"service", row.service},
                                    {"zone", row.availability_zone},
                                    {"window_minutes", row.window.count()},
                                    {"total", row.total},
                                    {"bad", row.bad},
                                    {"burn_rate", row.burn_rate},
                                    {"budget_left", row.budget_left},
                                    {"counts", counts_to_json(row.counts)}});
    }
    return json::serialize(json::object{{"rows", rows},
                                        {"nodes", json::value_from(report.nodes)},
                                        {"missing_nodes", json::value_from(report.missing_nodes)}});
}

}  // namespace teaselpitch
