#pragma once

#include <CLI/App.hpp>

#include "main/ctl/ctl_context.h"

namespace teaselpitch {

/// Adds the command "table" and its subcommands. The context must outlive the app.
void add_table_group(CLI::App& app, ctl_context& context);

/// Adds the read-only subcommands show, get, diff, validate and history.
void add_table_queries(CLI::App& table, ctl_context& context);

/// Adds the subcommands edit, set, publish and revert.
void add_table_commands(CLI::App& table, ctl_context& context);

}  // namespace teaselpitch
