#include "main/ctl/node_versions.h"

#include <algorithm>

#include "core/json.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

std::string text_of(const json::object& object, const char* name) {
    const json::value* value = object.if_contains(name);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::uint64_t number_of(const json::object& object, const char* name) {
    const json::value* value = object.if_contains(name);
    json::error_code error;
    const auto number = value != nullptr && value->is_number() ? value->to_number<std::uint64_t>(error) : 0;
    return error ? 0 : number;
}

}  // namespace

std::vector<std::string> node_versions::missing(std::uint64_t version) const {
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

void node_versions::start_round() {
    for (auto& [name, node] : nodes_) {
        node.live = false;
    }
}

absl::Status node_versions::merge(std::string_view status_json) {
    json::error_code error;
    const json::value parsed = json::parse({status_json.data(), status_json.size()}, error);
    if (error || !parsed.is_object() || text_of(parsed.as_object(), "node").empty()) {
        return absl::InvalidArgumentError("the answer is not a node's status");
    }
    const json::object& status = parsed.as_object();
    node& self = nodes_[text_of(status, "node")];
    self.zone = text_of(status, "zone");
    self.version = std::max(self.version, number_of(status, "table_version"));
    self.live = true;
    const json::value* members = status.if_contains("members");
    if (members == nullptr || !members->is_array()) {
        return absl::OkStatus();
    }
    for (const json::value& entry : members->as_array()) {
        if (!entry.is_object() || text_of(entry.as_object(), "name").empty()) {
            continue;
        }
        const json::object& member = entry.as_object();
        const std::string state = text_of(member, "state");
        node& known = nodes_[text_of(member, "name")];
        known.zone = text_of(member, "zone");
        known.admin = text_of(member, "admin");
        known.version = std::max(known.version, number_of(member, "table_version"));
        known.live = known.live || (state != "dead" && state != "left");
    }
    return absl::OkStatus();
}

}  // namespace teaselpitch
