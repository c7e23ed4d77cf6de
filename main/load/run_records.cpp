#include "main/load/run_records.h"

#include <sstream>
#include <unordered_map>

#include "core/json.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

double ejected_slots(const json::object& service, const std::string& zone, std::set<std::string>& ejected) {
    double slots = 0;
    for (const json::value& entry : service.at("targets").as_array()) {
        const json::object& target = entry.as_object();
        if (target.at("state").as_string() != "ejected") {
            continue;
        }
        ejected.emplace(target.at("name").as_string());
        const json::value* target_zone = target.if_contains("zone");
        const json::value* count = target.if_contains("slots");
        // A rule without a zone holds for the whole service.
        if (zone.empty() || (target_zone != nullptr && target_zone->as_string() == zone)) {
            slots += count == nullptr ? 1 : count->to_number<double>();
        }
    }
    return slots;
}

void add_service(const json::object& service, const std::string& node, history_time when, history& into,
                 std::set<std::string>& ejected) {
    for (const json::value& entry : service.at("floors").as_array()) {
        const json::object& floor = entry.as_object();
        const std::string zone(floor.at("zone").as_string());
        into.capacities.push_back({node, std::string(service.at("name").as_string()) + "/" + zone, when,
                                   floor.at("in_service").to_number<double>(),
                                   ejected_slots(service, zone, ejected),
                                   floor.at("required").to_number<double>()});
    }
}

void add_execution(const json::object& row, const std::string& target, history& into) {
    execution_record run;
    run.call_id = std::string(row.at("call_id").as_string());
    run.idempotency_key = std::string(row.at("idempotency_key").as_string());
    run.target = target;
    run.start = row.at("start_us").to_number<history_time>();
    run.end = row.at("end_us").to_number<history_time>();
    run.completed = row.at("state").as_string() == "completed";
    into.executions.push_back(std::move(run));
}

template <typename Add>
absl::Status for_each_line(std::string_view lines, const Add& add) {
    std::istringstream in{std::string(lines)};
    std::string line;
    for (std::size_t number = 1; std::getline(in, line); ++number) {
        try {
            if (!line.empty()) {
                add(json::parse(line).as_object());
            }
        } catch (const std::exception& error) {
            return absl::InvalidArgumentError("line " + std::to_string(number) + ": " + error.what());
        }
    }
    return absl::OkStatus();
}

}  // namespace

absl::Status add_status_sample(std::string_view status, history_time when, history& into,
                               std::set<std::string>& ejected) {
    return for_each_line(status, [&](const json::object& report) {
        const std::string node = std::string(report.at("node").as_string()) + "#" +
                                 std::to_string(report.at("incarnation").to_number<std::uint64_t>());
        into.versions.push_back({node, report.at("table_version").to_number<std::uint64_t>(), when});
        for (const json::value& service : report.at("services").as_array()) {
            add_service(service.as_object(), node, when, into, ejected);
        }
    });
}

absl::Status add_executions(std::string_view lines, const std::string& target, history& into) {
    return for_each_line(lines, [&](const json::object& row) { add_execution(row, target, into); });
}

absl::Status add_events(std::string_view lines, history& into) {
    std::istringstream in{std::string(lines)};
    const absl::StatusOr<history> events = read_history(in);
    if (!events.ok()) {
        return events.status();
    }
    into.killed.insert(into.killed.end(), events->killed.begin(), events->killed.end());
    into.accepted_edits.insert(into.accepted_edits.end(), events->accepted_edits.begin(),
                               events->accepted_edits.end());
    into.leaves.insert(into.leaves.end(), events->leaves.begin(), events->leaves.end());
    return absl::OkStatus();
}

void resolve_answer_keys(std::vector<call_record>& calls) {
    std::unordered_map<std::string, std::string> keys;
    for (const call_record& call : calls) {
        keys.emplace(call.call_id, call.idempotency_key);
    }
    for (call_record& call : calls) {
        const auto sender = keys.find(call.answer_for);
        if (call.answer_key.empty() && sender != keys.end()) {
            call.answer_key = sender->second;
        }
    }
}

}  // namespace teaselpitch
