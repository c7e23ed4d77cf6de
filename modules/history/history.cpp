#include "modules/history/history.h"

#include <exception>
#include <string_view>

namespace teaselpitch {
namespace {

namespace json = boost::json;

json::object to_json(const call_record& call) {
    return {{"type", "call"},
            {"call_id", call.call_id},
            {"key", call.idempotency_key},
            {"service", call.service},
            {"non_idempotent", call.non_idempotent},
            {"start", call.start},
            {"end", call.end},
            {"status", call.status},
            {"whole", call.whole},
            {"execution", std::string(to_string(call.execution))},
            {"error", call.error},
            {"answer_for", call.answer_for},
            {"answer_key", call.answer_key},
            {"body_matches", call.body_matches}};
}

json::object to_json(const execution_record& execution) {
    return {{"type", "execution"},
            {"call_id", execution.call_id},
            {"key", execution.idempotency_key},
            {"target", execution.target},
            {"start", execution.start},
            {"end", execution.end},
            {"completed", execution.completed}};
}

json::object to_json(const version_record& entry) {
    return {{"type", "version"}, {"node", entry.node}, {"version", entry.version}, {"when", entry.when}};
}

json::object to_json(const accepted_edit_record& entry) {
    return {{"type", "accepted_edit"}, {"version", entry.version}, {"when", entry.when}};
}

json::object to_json(const leave_record& entry) {
    return {
        {"type", "leave"}, {"name", entry.name}, {"announced", entry.announced}, {"stopped", entry.stopped}};
}

json::object to_json(const capacity_record& entry) {
    return {{"type", "capacity"},
            {"node", entry.node},
            {"service", entry.service},
            {"when", entry.when},
            {"in_service", entry.in_service},
            {"ejected", entry.ejected},
            {"floor", entry.floor}};
}

std::string get_string(const json::object& object, std::string_view key) {
    return std::string(object.at(key).as_string());
}

template <typename Number>
Number get_number(const json::object& object, std::string_view key) {
    return object.at(key).to_number<Number>();
}

call_record parse_call(const json::object& object) {
    call_record call;
    call.call_id = get_string(object, "call_id");
    call.idempotency_key = get_string(object, "key");
    call.service = get_string(object, "service");
    call.non_idempotent = object.at("non_idempotent").as_bool();
    call.start = get_number<history_time>(object, "start");
    call.end = get_number<history_time>(object, "end");
    call.status = get_number<unsigned>(object, "status");
    call.whole = object.at("whole").as_bool();
    call.execution = parse_execution_state(get_string(object, "execution")).value();
    call.error = get_string(object, "error");
    call.answer_for = get_string(object, "answer_for");
    call.answer_key = get_string(object, "answer_key");
    call.body_matches = object.at("body_matches").as_bool();
    return call;
}

execution_record parse_execution(const json::object& object) {
    return {get_string(object, "call_id"),
            get_string(object, "key"),
            get_string(object, "target"),
            get_number<history_time>(object, "start"),
            get_number<history_time>(object, "end"),
            object.at("completed").as_bool()};
}

capacity_record parse_capacity(const json::object& object) {
    return {get_string(object, "node"),
            get_string(object, "service"),
            get_number<history_time>(object, "when"),
            get_number<double>(object, "in_service"),
            get_number<double>(object, "ejected"),
            get_number<double>(object, "floor")};
}

void parse_record(const json::object& object, history& destination) {
    const std::string type = get_string(object, "type");
    if (type == "call") {
        destination.calls.push_back(parse_call(object));
    } else if (type == "execution") {
        destination.executions.push_back(parse_execution(object));
    } else if (type == "version") {
        destination.versions.push_back({get_string(object, "node"),
                                        get_number<std::uint64_t>(object, "version"),
                                        get_number<history_time>(object, "when")});
    } else if (type == "accepted_edit") {
        destination.accepted_edits.push_back(
            {get_number<std::uint64_t>(object, "version"), get_number<history_time>(object, "when")});
    } else if (type == "leave") {
        destination.leaves.push_back({get_string(object, "name"),
                                      get_number<history_time>(object, "announced"),
                                      get_number<history_time>(object, "stopped")});
    } else if (type == "capacity") {
        destination.capacities.push_back(parse_capacity(object));
    } else if (type == "killed") {
        destination.killed.push_back(get_string(object, "name"));
    } else {
        throw std::runtime_error("unknown record type \"" + type + "\"");
    }
}

template <typename Records>
void write_records(std::ostream& out, const Records& records) {
    for (const auto& record : records) {
        out << json::serialize(to_json(record)) << '\n';
    }
}

}  // namespace

void write_history(std::ostream& out, const history& value) {
    write_records(out, value.calls);
    write_records(out, value.executions);
    write_records(out, value.versions);
    write_records(out, value.accepted_edits);
    write_records(out, value.leaves);
    write_records(out, value.capacities);
    for (const std::string& name : value.killed) {
        out << json::serialize(json::object{{"type", "killed"}, {"name", name}}) << '\n';
    }
}

absl::StatusOr<history> read_history(std::istream& in) {
    history result;
    std::string line;
    for (std::size_t line_number = 1; std::getline(in, line); ++line_number) {
        if (line.empty()) {
            continue;
        }
        try {
            parse_record(json::parse(line).as_object(), result);
        } catch (const std::exception& error) {
            return absl::InvalidArgumentError("line " + std::to_string(line_number) + ": " + error.what());
        }
    }
    return result;
}

}  // namespace teaselpitch
