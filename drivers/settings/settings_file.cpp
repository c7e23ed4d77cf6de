#include "drivers/settings/settings_file.h"

#include <system_error>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {

settings_file::settings_file(std::string path) : path_(std::move(path)) {}

settings_result settings_file::load() {
    loaded_state_ = read_file_state();
    settings_result result = load_node_settings(path_);
    for (const settings_error& invalid_setting : result.errors) {
        log_event(event_level::error, "invalid_settings",
                  {{"file", path_}, {"key", invalid_setting.key_path}, {"reason", invalid_setting.reason}});
    }
    return result;
}

bool settings_file::has_changed() const {
    const std::optional<file_state> now = read_file_state();
    return now.has_value() && now != loaded_state_;
}

std::optional<settings_file::file_state> settings_file::read_file_state() const {
    std::error_code error;
    file_state state;
    state.modified_at = std::filesystem::last_write_time(path_, error);
    if (!error) {
        state.size = std::filesystem::file_size(path_, error);
    }
    return error ? std::nullopt : std::optional(state);
}

std::vector<std::string> changed_keys(const node_settings& before, const node_settings& after) {
    std::vector<std::string> keys;
    const auto compare = [&keys](bool equal, const char* key) {
        if (!equal) {
            keys.emplace_back(key);
        }
    };
    compare(before.name == after.name, "node.name");
    compare(before.availability_zone == after.availability_zone, "node.availability_zone");
    compare(before.threads == after.threads, "node.threads");
    compare(before.caller_listen == after.caller_listen, "listen.caller");
    compare(before.admin_listen == after.admin_listen, "listen.admin");
    compare(before.peer_listen == after.peer_listen, "listen.peer");
    compare(before.log_address == after.log_address, "log.address");
    compare(before.seeds == after.seeds, "seeds");
    compare(before.drain_timeout == after.drain_timeout, "times.drain_timeout_ms");
    compare(before.memory_mb == after.memory_mb, "limits.memory_mb");
    compare(before.max_fds == after.max_fds, "limits.max_fds");
    compare(before.store == after.store, "store");
    compare(before.local_target == after.local_target, "beside");
    compare(before.log_level == after.log_level, "log_level");
    return keys;
}

}  // namespace teaselpitch
