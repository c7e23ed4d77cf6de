#include "main/ctl/ctl_app.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <exception>

#include "main/ctl/ctl_context.h"
#include "main/ctl/fleet_group.h"
#include "main/ctl/table_group.h"

namespace teaselpitch {
namespace {

void add_global_options(CLI::App& app, ctl_context& context) {
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    app.add_option("--log", context.log_address, "ADDRESS:PORT of the log service")
        ->envname("TEASELPITCH_LOG");
    app.add_option("--stream", context.stream, "Log stream that stores the table")->capture_default_str();
    app.add_option("--node", context.nodes, "ADDRESS:PORT of a node's admin listener; repeatable")
        ->envname("TEASELPITCH_NODE");
    app.add_option("--output", context.output, "Output format: text or json")
        ->check(CLI::IsMember({"text", "json"}))
        ->capture_default_str();
    app.add_option("--log-timeout", context.log_timeout_s, "Maximum time to wait for the log, in seconds")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
    app.footer(exit_status::help);
}

// Accepts the global options after a subcommand name as well as before it.
void allow_global_options_anywhere(CLI::App& app) {
    app.fallthrough();
    for (CLI::App* child : app.get_subcommands({})) {
        allow_global_options_anywhere(*child);
    }
}

}  // namespace

int run_ctl(std::vector<std::string> arguments, std::ostream& out, std::ostream& err) {
    CLI::App app("Operates a teaselpitch fleet.", "teaselpitchctl");
    ctl_context context{out, err};
    add_global_options(app, context);
    app.require_subcommand(1);
    add_table_group(app, context);
    add_fleet_queries(app, context);
    add_fleet_commands(app, context);
    allow_global_options_anywhere(app);
    try {
        std::reverse(arguments.begin(), arguments.end());
        app.parse(std::move(arguments));
    } catch (const CLI::ParseError& error) {
        return app.exit(error, out, err) == 0 ? exit_status::ok : exit_status::bad_usage;
    } catch (const std::exception& error) {
        err << "internal error: " << error.what() << '\n';
        return exit_status::failed;
    }
    return context.status;
}

}  // namespace teaselpitch
