#pragma once

#include <filesystem>
#include <string>

#include "drivers/settings/node_settings.h"

namespace teaselpitch {

/// The settings file of a running node. The file may change at any time, with or without a reload signal.
class settings_file {
public:
    explicit settings_file(std::string path);

    /// Reads the file, records its modification time and size, and logs each error.
    settings_result load();

    /// True when the modification time or the size differs from those at the last load(). A file that cannot
    /// be examined counts as unchanged.
    [[nodiscard]] bool has_changed() const;

    [[nodiscard]] const std::string& path() const { return path_; }

private:
    struct file_state {
        std::filesystem::file_time_type modified_at{};
        std::uintmax_t size = 0;

        bool operator==(const file_state&) const = default;
    };

    [[nodiscard]] std::optional<file_state> read_file_state() const;

    const std::string path_;
    std::optional<file_state> loaded_state_;
};

/// Returns the keys of the settings whose values differ.
std::vector<std::string> changed_keys(const node_settings& before, const node_settings& after);

}  // namespace teaselpitch
