#include "main/load/fault_schedule.h"

#include <yaml-cpp/yaml.h>

#include <algorithm>

namespace teaselpitch {
namespace {

absl::Status parse_post(const std::string& post, scheduled_fault& fault) {
    const std::size_t path = post.find(' ');
    const auto address = parse_endpoint(post.substr(0, path));
    if (!address.ok()) {
        return absl::InvalidArgumentError("post does not start with ADDRESS:PORT");
    }
    if (path == std::string::npos || path + 1 >= post.size() || post[path + 1] != '/') {
        return absl::InvalidArgumentError("post has no path after the address");
    }
    const std::size_t body = post.find(' ', path + 1);
    fault.address = *address;
    fault.path = post.substr(path + 1, body == std::string::npos ? body : body - path - 1);
    fault.body = body == std::string::npos ? "" : post.substr(body + 1);
    return absl::OkStatus();
}

absl::StatusOr<scheduled_fault> parse_entry(const YAML::Node& entry) {
    if (!entry.IsMap() || !entry["at_ms"] || !entry["post"]) {
        return absl::InvalidArgumentError("an entry needs at_ms and post");
    }
    scheduled_fault fault;
    std::string post;
    for (const auto& field : entry) {
        const auto key = field.first.as<std::string>();
        if (key == "at_ms") {
            fault.at = std::chrono::milliseconds(field.second.as<std::int64_t>());
        } else if (key == "post") {
            post = field.second.as<std::string>();
        } else if (key == "note") {
            fault.note = field.second.as<std::string>();
        } else {
            return absl::InvalidArgumentError("unknown key \"" + key + "\"");
        }
    }
    if (fault.at.count() < 0) {
        return absl::InvalidArgumentError("at_ms is negative");
    }
    if (const absl::Status status = parse_post(post, fault); !status.ok()) {
        return status;
    }
    return fault;
}

}  // namespace

absl::StatusOr<std::vector<scheduled_fault>> parse_fault_schedule(std::string_view yaml) {
    std::vector<scheduled_fault> faults;
    try {
        const YAML::Node list = YAML::Load(std::string(yaml));
        if (!list.IsSequence() && !list.IsNull()) {
            return absl::InvalidArgumentError("the fault schedule is not a list");
        }
        for (std::size_t i = 0; i < list.size(); ++i) {
            absl::StatusOr<scheduled_fault> fault = parse_entry(list[i]);
            if (!fault.ok()) {
                return absl::InvalidArgumentError("entry " + std::to_string(i + 1) + ": " +
                                                  std::string(fault.status().message()));
            }
            faults.push_back(*std::move(fault));
        }
    } catch (const YAML::Exception& error) {
        return absl::InvalidArgumentError(std::string("fault schedule: ") + error.what());
    }
    std::stable_sort(faults.begin(), faults.end(),
                     [](const auto& left, const auto& right) { return left.at < right.at; });
    return faults;
}

std::string find_target_name(const std::vector<named_target>& targets, const endpoint& address) {
    const auto found = std::find_if(targets.begin(), targets.end(),
                                    [&](const named_target& target) { return target.address == address; });
    return found == targets.end() ? "" : found->name;
}

}  // namespace teaselpitch
