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

json::object to_json(const execution_record& run) {
    return {{"type", "execution"},       {"call_id", run.call_id}, {"key", run.idempotency_key},
            {"target", run.target},      {"start", run.start},     {"end", run.end},
            {"completed", run.completed}};
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

std::string text(const json::object& object, std::string_view key) {
    return std::string(object.at(key).as_string());
}

template <typename Number>
Number number(const json::object& object, std::string_view key) {
    return object.at(key).to_number<Number>();
}

call_record read_call(const json::object& object) {
    call_record call;
    call.call_id = text(object, "call_id");
    call.idempotency_key = text(object, "key");
    call.service = text(object, "service");
    call.non_idempotent = object.at("non_idempotent").as_bool();
    call.start = number<history_time>(object, "start");
    call.end = number<history_time>(object, "end");
    call.status = number<unsigned>(object, "status");
    call.whole = object.at("whole").as_bool();
    call.execution = parse_execution_state(text(object, "execution")).value();
    call.error = text(object, "error");
    call.answer_for = text(object, "answer_for");
    call.answer_key = text(object, "answer_key");
    call.body_matches = object.at("body_matches").as_bool();
    return call;
}

execution_record read_execution(const json::object& object) {
    return {text(object, "call_id"),
            text(object, "key"),
            text(object, "target"),
            number<history_time>(object, "start"),
            number<history_time>(object, "end"),
            object.at("completed").as_bool()};
}

capacity_record read_capacity(const json::object& object) {
    return {text(object, "node"),
            text(object, "service"),
            number<history_time>(object, "when"),
            number<double>(object, "in_service"),
            number<double>(object, "ejected"),
            number<double>(object, "floor")};
}

void read_record(const json::object& object, history& into) {
    const std::string type = text(object, "type");
    if (type == "call") {
        into.calls.push_back(read_call(object));
    } else if (type == "execution") {
        into.executions.push_back(read_execution(object));
    } else if (type == "version") {
        into.versions.push_back({text(object, "node"), number<std::uint64_t>(object, "version"),
                                 number<history_time>(object, "when")});
    } else if (type == "accepted_edit") {
        into.accepted_edits.push_back(
            {number<std::uint64_t>(object, "version"), number<history_time>(object, "when")});
    } else if (type == "leave") {
        into.leaves.push_back({text(object, "name"), number<history_time>(object, "announced"),
                               number<history_time>(object, "stopped")});
    } else if (type == "capacity") {
        into.capacities.push_back(read_capacity(object));
    } else if (type == "killed") {
        into.killed.push_back(text(object, "name"));
    } else {
        throw std::runtime_error("unknown record type \"" + type + "\"");
    }
}

template <typename Records>
void write_all(std::ostream& out, const Records& records) {
    for (const auto& record : records) {
        out << json::serialize(to_json(record)) << '\n';
    }
}

}  // namespace

void write_history(std::ostream& out, const history& value) {
    write_all(out, value.calls);
    write_all(out, value.executions);
    write_all(out, value.versions);
    write_all(out, value.accepted_edits);
    write_all(out, value.leaves);
    write_all(out, value.capacities);
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
            read_record(json::parse(line).as_object(), result);
        } catch (const std::exception& error) {
            return absl::InvalidArgumentError("line " + std::to_string(line_number) + ": " + error.what());
        }
    }
    return result;
}

}  // namespace teaselpitch
