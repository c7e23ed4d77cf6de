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

/// One fault of a settings file.
struct settings_fault {
    std::string key_path;  ///< Dotted path, for example node.threads.
    std::string reason;
};

struct integer_range {
    std::int64_t lowest;
    std::int64_t highest;
};

/// Reads the keys of one YAML mapping. Each fault is added to a shared list, so one run names all of them.
class settings_section {
public:
    settings_section(const YAML::Node& mapping, std::string path, std::vector<settings_fault>& faults);

    std::string required_text(std::string_view key);
    std::string text_or(std::string_view key, std::string_view fallback);
    std::int64_t integer_or(std::string_view key, std::int64_t fallback, integer_range range);
    double number_or(std::string_view key, double fallback, double lowest, double highest);
    std::chrono::milliseconds milliseconds_or(std::string_view key, std::chrono::milliseconds fallback,
                                              integer_range range_ms);
    endpoint required_endpoint(std::string_view key);
    std::optional<endpoint> optional_endpoint(std::string_view key);
    std::vector<endpoint> endpoints(std::string_view key);
    std::string choice_or(std::string_view key, std::string_view fallback,
                          const std::vector<std::string_view>& choices);

    [[nodiscard]] bool has(std::string_view key) const;

    /// A nested mapping; a missing one reads as empty.
    settings_section section(std::string_view key);

    /// Adds a fault for each key that was not read.
    void refuse_unknown_keys();

private:
    YAML::Node take(std::string_view key);
    void add_fault(std::string_view key, std::string reason);
    [[nodiscard]] std::string path_of(std::string_view key) const;
    endpoint parse_endpoint_at(std::string_view key, const YAML::Node& node);

    YAML::Node mapping_;
    std::string path_;
    std::vector<settings_fault>& faults_;
    std::set<std::string, std::less<>> known_;
};

}  // namespace teaselpitch
