#pragma once

#include <filesystem>
#include <string>

#include "drivers/settings/node_settings.h"

namespace teaselpitch {

/// The settings file of a running node, which may change with or without a signal.
class settings_file {
public:
    explicit settings_file(std::string path);

    /// Reads the file, remembers its state, and leaves one line for each fault.
    settings_result load();

    /// True when the file differs from what load() saw; a file that cannot be examined counts as unchanged.
    [[nodiscard]] bool changed() const;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    struct file_state {
        std::filesystem::file_time_type written{};
        std::uintmax_t size = 0;

        bool operator==(const file_state&) const = default;
    };

    [[nodiscard]] std::optional<file_state> examine() const;

    const std::string path_;
    std::optional<file_state> seen_;
};

/// Keys of the settings whose values differ.
std::vector<std::string> changed_keys(const node_settings& before, const node_settings& after);

}  // namespace teaselpitch
