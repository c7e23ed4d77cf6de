#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <string>

#include "core/clock.h"
#include "core/event_log.h"
#include "drivers/settings/node_settings.h"
#include "modules/node/node.h"
#include "platform/node_platform.h"

namespace teaselpitch {
namespace {

constexpr int status_failed = 1;
constexpr int status_bad_settings = 2;

struct arguments {
    std::string settings_path;
    bool check_only = false;
};

int run_node(const arguments& given) {
    settings_file file(given.settings_path);
    const settings_result loaded = file.load();
    if (!loaded.errors.empty()) {
        return status_bad_settings;
    }
    if (given.check_only) {
        log_event(event_level::info, "settings_valid", {{"file", given.settings_path}});
        return 0;
    }
    set_event_level(loaded.settings.log_level);
    const background_event_writer output(stdout);
    // A write to a closed connection is an error of that connection, not the end of the process.
    std::signal(SIGPIPE, SIG_IGN);
    const system_time_source clock;
    const auto started =
        std::chrono::duration_cast<std::chrono::microseconds>(clock.wall_now().time_since_epoch());
    node self(loaded.settings, file, loaded.settings.store ? platform::make_node_platform() : node_platform{},
              clock, static_cast<std::uint64_t>(started.count()));
    const absl::Status ended = self.run();
    if (!ended.ok()) {
        log_event(event_level::error, "node_failed", {{"reason", std::string(ended.message())}});
        return status_failed;
    }
    return 0;
}

}  // namespace
}  // namespace teaselpitch

int main(int argc, char** argv) {
    CLI::App app{"teaselpitch node: takes callers' requests and guards the targets beside it"};
    teaselpitch::arguments given;
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    app.add_option("--settings", given.settings_path, "Settings file (YAML)")
        ->required()
        ->envname("TEASELPITCH_SETTINGS");
    app.add_flag("--check", given.check_only, "Only validate the settings");
    app.footer("Exit status: 0 stopped gracefully, 1 failed, 2 bad usage or settings.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : teaselpitch::status_bad_settings;
    }
    return teaselpitch::run_node(given);
}
