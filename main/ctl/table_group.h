#pragma once

#include <CLI/App.hpp>

#include "main/ctl/ctl_context.h"

namespace teaselpitch {

/// Adds the command "table" with its queries and commands. The context must outlive the app.
void add_table_group(CLI::App& app, ctl_context& context);

/// Adds show, get, diff, validate and history, which change nothing.
void add_table_queries(CLI::App& table, ctl_context& context);

/// Adds edit, set, publish and revert.
void add_table_commands(CLI::App& table, ctl_context& context);

}  // namespace teaselpitch
