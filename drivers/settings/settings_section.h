#pragma once

#include <yaml-cpp/yaml.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "core/identity.h"

namespace teaselpitch {

/// One error of a settings file.
struct settings_error {
    std::string key_path;  ///< Dotted path, for example node.threads.
    std::string reason;
};

/// Inclusive range.
struct integer_range {
    std::int64_t minimum;
    std::int64_t maximum;
};

/// Reads the keys of one YAML mapping. Errors are added to a shared list, so that one run reports all of
/// them.
class settings_section {
public:
    settings_section(const YAML::Node& mapping, std::string path, std::vector<settings_error>& errors);

    // A missing or invalid value adds an error; an invalid optional value yields the fallback.
    std::string required_text(std::string_view key);
    std::string text_or(std::string_view key, std::string_view fallback);
    std::int64_t integer_or(std::string_view key, std::int64_t fallback, integer_range range);
    double number_or(std::string_view key, double fallback, double minimum, double maximum);
    bool boolean_or(std::string_view key, bool fallback);
    std::chrono::milliseconds milliseconds_or(std::string_view key, std::chrono::milliseconds fallback,
                                              integer_range range_ms);
    endpoint required_endpoint(std::string_view key);
    std::optional<endpoint> optional_endpoint(std::string_view key);
    std::vector<endpoint> endpoints(std::string_view key);
    std::string choice_or(std::string_view key, std::string_view fallback,
                          const std::vector<std::string_view>& choices);

    [[nodiscard]] bool has(std::string_view key) const;

    /// Returns a nested mapping; a missing one is treated as empty.
    settings_section section(std::string_view key);

    /// Adds an error for each key that was not read before.
    void reject_unknown_keys();

private:
    YAML::Node read_value(std::string_view key);
    void add_error(std::string_view key, std::string reason);
    [[nodiscard]] std::string key_path_of(std::string_view key) const;
    endpoint parse_endpoint_at(std::string_view key, const YAML::Node& node);

    YAML::Node mapping_;
    std::string path_;
    std::vector<settings_error>& errors_;
    std::set<std::string, std::less<>> known_keys_;
};

}  // namespace teaselpitch
