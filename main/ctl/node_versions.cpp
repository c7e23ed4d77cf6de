#include "main/ctl/node_versions.h"

#include <algorithm>

#include "core/json.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

std::string string_field(const json::object& object, const char* name) {
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t number_field(const json::object& object, const char* name) {
    const json::value* value = object.if_contains(name);
    json::error_code error;
    const auto number = value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

}  // namespace

std::vector<std::string> node_versions::nodes_below_version(std::uint64_t version) const {
    std::vector<std::string> names;
    for (const auto& [name, node] : nodes_) {
        if (node.live && node.version < version) {
            names.push_back(name);
        }
    }
    return names;
}

std::size_t node_versions::live_count() const {
    return static_cast<std::size_t>(
        std::count_if(nodes_.begin(), nodes_.end(), [](const auto& entry) { return entry.second.live; }));
}

void node_versions::reset_liveness() {
    for (auto& [name, node] : nodes_) {
        node.live = false;
    }
}

absl::Status node_versions::merge_status(std::string_view status_json) {
    json::error_code error;
    const json::value parsed = json::parse({status_json.data(), status_json.size()}, error);
    if (error || !parsed.is_object() || string_field(parsed.as_object(), "node").empty()) {
        return absl::InvalidArgumentError("the response is not a node status object");
    }
    const json::object& status = parsed.as_object();
    node& responding_node = nodes_[string_field(status, "node")];
    responding_node.zone = string_field(status, "zone");
    responding_node.version = std::max(responding_node.version, number_field(status, "table_version"));
    responding_node.live = true;
    const json::value* members = status.if_contains("members");
    if (members == nullptr || !members->is_array()) {
        return absl::OkStatus();
    }
    for (const json::value& entry : members->as_array()) {
        if (!entry.is_object() || string_field(entry.as_object(), "name").empty()) {
            continue;
        }
        const json::object& member = entry.as_object();
        const std::string state = string_field(member, "state");
        node& member_node = nodes_[string_field(member, "name")];
        member_node.zone = string_field(member, "zone");
        member_node.admin = string_field(member, "admin");
        member_node.version = std::max(member_node.version, number_field(member, "table_version"));
        member_node.live = member_node.live || (state != "dead" && state != "left");
    }
    return absl::OkStatus();
}

}  // namespace teaselpitch
