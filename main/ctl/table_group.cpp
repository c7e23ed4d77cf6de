#include "main/ctl/table_group.h"

#include <CLI/CLI.hpp>

#include "servers/table/columns.h"

namespace teaselpitch {

void add_table_group(CLI::App& app, ctl_context& context) {
    CLI::App* table = app.add_subcommand("table", "Shows and changes the configuration table.");
    table->require_subcommand(1);
    table->footer("Columns:\n" + describe_columns());
    add_table_queries(*table, context);
    add_table_commands(*table, context);
}

}  // namespace teaselpitch
