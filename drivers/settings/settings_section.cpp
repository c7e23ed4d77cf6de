#include "drivers/settings/settings_section.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

std::string format_range(std::int64_t minimum, std::int64_t maximum) {
    return std::to_string(minimum) + ".." + std::to_string(maximum);
}

}  // namespace

settings_section::settings_section(const YAML::Node& mapping, std::string path,
                                   std::vector<settings_error>& errors)
    : mapping_(mapping.IsDefined() ? mapping : YAML::Node()), path_(std::move(path)), errors_(errors) {
    if (!mapping_.IsNull() && !mapping_.IsMap()) {
        errors_.push_back({path_.empty() ? "(top level)" : path_, "expected a mapping"});
        mapping_ = YAML::Node();
    }
}

bool settings_section::has(std::string_view key) const {
    return mapping_.IsMap() && mapping_[std::string(key)].IsDefined();
}

std::string settings_section::required_text(std::string_view key) {
    const YAML::Node node = read_value(key);
    if (!node.IsDefined() || node.IsNull()) {
        add_error(key, "missing");
        return {};
    }
    if (!node.IsScalar() || node.Scalar().empty()) {
        add_error(key, "expected a non-empty string");
        return {};
    }
    return node.Scalar();
}

std::string settings_section::text_or(std::string_view key, std::string_view fallback) {
    const YAML::Node node = read_value(key);
    if (!node.IsDefined()) {
        return std::string(fallback);
    }
    if (!node.IsScalar()) {
        add_error(key, "expected a string");
        return std::string(fallback);
    }
    return node.Scalar();
}

std::int64_t settings_section::integer_or(std::string_view key, std::int64_t fallback, integer_range range) {
    const YAML::Node node = read_value(key);
    if (!node.IsDefined()) {
        return fallback;
    }
    std::int64_t value = 0;
    if (!node.IsScalar() || !YAML::convert<std::int64_t>::decode(node, value)) {
        add_error(key, "expected an integer");
        return fallback;
    }
    if (value < range.minimum || value > range.maximum) {
        add_error(key, std::to_string(value) + " is not in " + format_range(range.minimum, range.maximum));
        return fallback;
    }
    return value;
}

double settings_section::number_or(std::string_view key, double fallback, double minimum, double maximum) {
    const YAML::Node node = read_value(key);
    if (!node.IsDefined()) {
        return fallback;
    }
    double value = 0;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, value)) {
        add_error(key, "expected a number");
        return fallback;
    }
    // The negated comparison also rejects NaN.
    if (!(value >= minimum && value <= maximum)) {
        add_error(key,
                  node.Scalar() + " is not in " + std::to_string(minimum) + ".." + std::to_string(maximum));
        return fallback;
    }
    return value;
}

bool settings_section::boolean_or(std::string_view key, bool fallback) {
    const YAML::Node node = read_value(key);
    if (!node.IsDefined()) {
        return fallback;
    }
    bool value = false;
    if (!node.IsScalar() || !YAML::convert<bool>::decode(node, value)) {
        add_error(key, "expected true or false");
        return fallback;
    }
    return value;
}

std::chrono::milliseconds settings_section::milliseconds_or(std::string_view key,
                                                            std::chrono::milliseconds fallback,
                                                            integer_range range_ms) {
    return std::chrono::milliseconds{integer_or(key, fallback.count(), range_ms)};
}

endpoint settings_section::required_endpoint(std::string_view key) {
    const YAML::Node node = read_value(key);
    if (!node.IsDefined() || node.IsNull()) {
        add_error(key, "missing");
        return {};
    }
    return parse_endpoint_at(key, node);
}

std::optional<endpoint> settings_section::optional_endpoint(std::string_view key) {
    const YAML::Node node = read_value(key);
    if (!node.IsDefined()) {
        return std::nullopt;
    }
    return parse_endpoint_at(key, node);
}

std::vector<endpoint> settings_section::endpoints(std::string_view key) {
    const YAML::Node node = read_value(key);
    std::vector<endpoint> result;
    if (!node.IsDefined()) {
        return result;
    }
    if (!node.IsSequence()) {
        add_error(key, "expected a list of ADDRESS:PORT");
        return result;
    }
    for (std::size_t i = 0; i < node.size(); ++i) {
        result.push_back(parse_endpoint_at(std::string(key) + "[" + std::to_string(i) + "]", node[i]));
    }
    return result;
}

std::string settings_section::choice_or(std::string_view key, std::string_view fallback,
                                        const std::vector<std::string_view>& choices) {
    std::string value = text_or(key, fallback);
    if (std::find(choices.begin(), choices.end(), value) != choices.end()) {
        return value;
    }
    std::string reason = "\"" + value + "\" is not one of";
    for (const std::string_view choice : choices) {
        reason += " " + std::string(choice);
    }
    add_error(key, reason);
    return std::string(fallback);
}

settings_section settings_section::section(std::string_view key) {
    return {read_value(key), key_path_of(key), errors_};
}

void settings_section::reject_unknown_keys() {
    if (!mapping_.IsMap()) {
        return;
    }
    for (const auto& entry : mapping_) {
        const std::string key = entry.first.IsScalar() ? entry.first.Scalar() : "(not a string)";
        if (known_keys_.find(key) == known_keys_.end()) {
            add_error(key, "unknown key");
        }
    }
}

YAML::Node settings_section::read_value(std::string_view key) {
    known_keys_.emplace(key);
    static const YAML::Node empty(YAML::NodeType::Map);
    const YAML::Node& source = mapping_.IsMap() ? mapping_ : empty;
    return source[std::string(key)];
}

void settings_section::add_error(std::string_view key, std::string reason) {
    errors_.push_back({key_path_of(key), std::move(reason)});
}

std::string settings_section::key_path_of(std::string_view key) const {
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
}

endpoint settings_section::parse_endpoint_at(std::string_view key, const YAML::Node& node) {
    if (!node.IsScalar()) {
        add_error(key, "expected ADDRESS:PORT");
        return {};
    }
    absl::StatusOr<endpoint> parsed = parse_endpoint(node.Scalar());
    if (!parsed.ok()) {
        add_error(key, std::string(parsed.status().message()));
        return {};
    }
    return *parsed;
}

}  // namespace teaselpitch
