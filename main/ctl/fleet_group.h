#pragma once

#include <CLI/App.hpp>

#include "main/ctl/ctl_context.h"

namespace teaselpitch {

/// Adds the read-only commands "status" and "explain". The context must outlive the app.
void add_fleet_queries(CLI::App& app, ctl_context& context);

/// Adds the command "drain". The context must outlive the app.
void add_fleet_commands(CLI::App& app, ctl_context& context);

}  // namespace teaselpitch
