#pragma once

#include <CLI/App.hpp>

#include "main/ctl/ctl_context.h"

namespace teaselpitch {

/// Adds status and explain, which change nothing. The context must outlive the app.
void add_fleet_queries(CLI::App& app, ctl_context& context);

/// Adds drain.
void add_fleet_commands(CLI::App& app, ctl_context& context);

}  // namespace teaselpitch
