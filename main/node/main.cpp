#include <CLI/CLI.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <string>

#include "absl/debugging/failure_signal_handler.h"
#include "absl/debugging/symbolize.h"
#include "core/clock.h"
#include "core/event_log.h"
#include "drivers/settings/node_settings.h"
#include "modules/node/node.h"
#include "platform/node_platform.h"

namespace teaselpitch {
namespace {

constexpr int status_failed = 1;
constexpr int status_invalid_settings = 2;

struct command_line_options {
    std::string settings_path;
    bool check_only = false;
};

/// Writes the signal and the stack to standard error when the process ends by a signal such as SIGSEGV.
void report_fatal_signals(const char* program) {
    absl::InitializeSymbolizer(program);
    absl::FailureSignalHandlerOptions options;
    // An alarm would end a process that is paused while it writes the stack.
    options.alarm_on_failure_secs = 0;
    absl::InstallFailureSignalHandler(options);
}

int run_node(const command_line_options& command_line) {
    settings_file file(command_line.settings_path);
    const settings_result loaded = file.load();
    if (!loaded.errors.empty()) {
        return status_invalid_settings;
    }
    if (command_line.check_only) {
        log_event(event_level::info, "settings_valid", {{"file", command_line.settings_path}});
        return 0;
    }
    set_event_level(loaded.settings.log_level);
    const background_event_writer event_output(stdout);
    // A write to a closed connection must fail with an error and not terminate the process.
    std::signal(SIGPIPE, SIG_IGN);
    const system_time_source clock;
    const auto start_time =
        std::chrono::duration_cast<std::chrono::microseconds>(clock.wall_now().time_since_epoch());
    node this_node(loaded.settings, file,
                   loaded.settings.store ? platform::make_node_platform() : node_platform{}, clock,
                   static_cast<std::uint64_t>(start_time.count()));
    const absl::Status run_status = this_node.run();
    if (!run_status.ok()) {
        log_event(event_level::error, "node_failed", {{"reason", std::string(run_status.message())}});
        return status_failed;
    }
    return 0;
}

}  // namespace
}  // namespace teaselpitch

int main(int argc, char** argv) {
    teaselpitch::report_fatal_signals(argv[0]);
    CLI::App app{"teaselpitch node: proxies the requests of callers and guards its local targets"};
    teaselpitch::command_line_options command_line;
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    app.add_option("--settings", command_line.settings_path, "Settings file (YAML)")
        ->required()
        ->envname("TEASELPITCH_SETTINGS");
    app.add_flag("--check", command_line.check_only, "Validate the settings and exit");
    app.footer("Exit status: 0 graceful shutdown or valid settings, 1 failure, 2 invalid usage or settings.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : teaselpitch::status_invalid_settings;
    }
    return teaselpitch::run_node(command_line);
}
