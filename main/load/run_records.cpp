#include "main/load/run_records.h"

#include <sstream>
#include <unordered_map>

#include "core/json.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

double sum_ejected_slots(const json::object& service, const std::string& zone,
                         std::set<std::string>& ejected) {
    double slots = 0;
    for (const json::value& entry : service.at("targets").as_array()) {
        const json::object& target = entry.as_object();
        if (target.at("state").as_string() != "ejected") {
            continue;
        }
        ejected.emplace(target.at("name").as_string());
        const json::value* target_zone = target.if_contains("zone");
        const json::value* count = target.if_contains("slots");
        // A floor without a zone applies to the whole service.
        if (zone.empty() || (target_zone != nullptr && target_zone->as_string() == zone)) {
            slots += count == nullptr ? 1 : count->to_number<double>();
        }
    }
    return slots;
}

void add_capacities(const json::object& service, const std::string& node, history_time when,
                    history& recorded, std::set<std::string>& ejected) {
    for (const json::value& entry : service.at("floors").as_array()) {
        const json::object& floor = entry.as_object();
        const std::string zone(floor.at("zone").as_string());
        recorded.capacities.push_back({node, std::string(service.at("name").as_string()) + "/" + zone, when,
                                       floor.at("in_service").to_number<double>(),
                                       sum_ejected_slots(service, zone, ejected),
                                       floor.at("required").to_number<double>()});
    }
}

void add_execution(const json::object& row, const std::string& target, history& recorded) {
    execution_record execution;
    execution.call_id = std::string(row.at("call_id").as_string());
    execution.idempotency_key = std::string(row.at("idempotency_key").as_string());
    execution.target = target;
    execution.start = row.at("start_us").to_number<history_time>();
    execution.end = row.at("end_us").to_number<history_time>();
    execution.completed = row.at("state").as_string() == "completed";
    recorded.executions.push_back(std::move(execution));
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

absl::Status add_status_sample(std::string_view status, history_time when, history& recorded,
                               std::set<std::string>& ejected) {
    return for_each_line(status, [&](const json::object& report) {
        const std::string node = std::string(report.at("node").as_string()) + "#" +
                                 std::to_string(report.at("incarnation").to_number<std::uint64_t>());
        recorded.versions.push_back({node, report.at("table_version").to_number<std::uint64_t>(), when});
        for (const json::value& service : report.at("services").as_array()) {
            add_capacities(service.as_object(), node, when, recorded, ejected);
        }
    });
}

absl::Status add_executions(std::string_view lines, const std::string& target, history& recorded) {
    return for_each_line(lines, [&](const json::object& row) { add_execution(row, target, recorded); });
}

absl::Status add_events(std::string_view lines, history& recorded) {
    std::istringstream in{std::string(lines)};
    const absl::StatusOr<history> events = read_history(in);
    if (!events.ok()) {
        return events.status();
    }
    recorded.killed.insert(recorded.killed.end(), events->killed.begin(), events->killed.end());
    recorded.accepted_edits.insert(recorded.accepted_edits.end(), events->accepted_edits.begin(),
                                   events->accepted_edits.end());
    recorded.leaves.insert(recorded.leaves.end(), events->leaves.begin(), events->leaves.end());
    return absl::OkStatus();
}

void resolve_answer_keys(std::vector<call_record>& calls) {
    std::unordered_map<std::string, std::string> keys;
    for (const call_record& call : calls) {
        keys.emplace(call.call_id, call.idempotency_key);
    }
    for (call_record& call : calls) {
        const auto answered_call = keys.find(call.answer_for);
        if (call.answer_key.empty() && answered_call != keys.end()) {
            call.answer_key = answered_call->second;
        }
    }
}

}  // namespace teaselpitch
