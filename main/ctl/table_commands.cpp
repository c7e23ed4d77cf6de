#include <CLI/CLI.hpp>
#include <cstdint>
#include <filesystem>
#include <fstream>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "main/ctl/publish_table.h"
#include "main/ctl/table_group.h"
#include "main/ctl/table_source.h"
#include "servers/table/columns.h"
#include "servers/table/table_validation.h"

namespace teaselpitch {
namespace {

struct command_options {
    publish_options publish;
    std::string file;
    std::string kind;
    std::string key;
    std::string second_key;
    std::vector<std::string> assignments;
    bool remove = false;
    std::optional<std::uint64_t> base;
    std::uint64_t version = 0;
};

void edit(ctl_context& context, const command_options& options) {
    if (std::filesystem::exists(options.file)) {
        report_failure(context, exit_status::bad_usage, options.file + " already exists and was not changed");
        return;
    }
    const auto session = open_session(context);
    if (!session) {
        return;
    }
    std::ofstream file(options.file, std::ios::binary);
    file << write_table_csv(*session->replica().current());
    file.close();
    if (!file) {
        report_failure(context, exit_status::failed, "cannot write " + options.file);
        return;
    }
    context.out << "version " << session->replica().version() << " is in " << options.file
                << "; change it and run: teaselpitchctl table publish " << options.file << '\n';
}

void publish(ctl_context& context, const command_options& options) {
    const auto parsed = read_table_file(context, options.file);
    if (!parsed) {
        return;
    }
    const auto base_version = options.base ? options.base : parsed->base_version;
    if (!base_version) {
        report_failure(
            context, exit_status::bad_usage,
            options.file +
                " has no line \"# version: N\"; pass the version that it was written from with --base");
        return;
    }
    const auto session = open_session(context, {*base_version});
    const auto base = session ? find_version(context, *session, *base_version) : nullptr;
    if (!base) {
        context.err << "nothing was published, the edit stays in " << options.file << '\n';
        return;
    }
    publish_table(context, *session, base, parsed->value, options.publish, options.file);
}

void revert(ctl_context& context, const command_options& options) {
    const auto session = open_session(context, {options.version});
    const auto requested = session ? find_version(context, *session, options.version) : nullptr;
    if (requested) {
        publish_options publish = options.publish;
        if (publish.comment.empty()) {
            publish.comment = "revert to version " + std::to_string(options.version);
        }
        publish_table(context, *session, session->replica().current(), *requested, publish, "");
    }
}

// Returns the cells of the row with this key, or those of a new row with the key and otherwise empty cells.
std::vector<std::string> find_or_create_cells(const table& value, row_kind kind, row_key requested) {
    std::vector<std::string> cells(columns_of(kind).size());
    cells[0] = requested.first;
    cells[1] = requested.second;
    const auto copy_cells = [&](const auto& rows) {
        if (const auto* row = rows.find(requested)) {
            cells = cells_of(*row);
        }
    };
    switch (kind) {
        case row_kind::service:
            copy_cells(value.services());
            break;
        case row_kind::route:
            copy_cells(value.routes());
            break;
        case row_kind::account:
            copy_cells(value.accounts());
            break;
    }
    return cells;
}

// Applies an assignment COLUMN=VALUE to the cells. Returns an error message when it is invalid.
std::optional<std::string> apply_assignment(row_kind kind, const std::string& assignment,
                                            std::vector<std::string>& cells) {
    const std::size_t equals = assignment.find('=');
    if (equals == std::string::npos) {
        return "\"" + assignment + "\" is not COLUMN=VALUE";
    }
    const std::vector<column>& columns = columns_of(kind);
    for (std::size_t i = 0; i < columns.size(); ++i) {
        if (columns[i].name == assignment.substr(0, equals)) {
            if (columns[i].key) {
                return "column " + std::string(columns[i].name) + " is part of the key";
            }
            cells[i] = assignment.substr(equals + 1);
            return std::nullopt;
        }
    }
    return "unknown column \"" + assignment.substr(0, equals) + "\"";
}

std::optional<row_change> make_change(ctl_context& context, const command_options& options,
                                      const table& current) {
    const row_kind kind = *parse_row_kind(options.kind);
    std::vector<std::string> cells = find_or_create_cells(current, kind, {options.key, options.second_key});
    for (const std::string& assignment : options.assignments) {
        if (const auto reason = apply_assignment(kind, assignment, cells)) {
            report_failure(context, exit_status::bad_usage, *reason);
            return std::nullopt;
        }
    }
    std::vector<table_issue> issues;
    row_change change{options.remove ? parse_row_key(kind, cells, issues) : parse_row(kind, cells, issues),
                      options.remove};
    if (issues.empty()) {
        issues =
            validate_changes(current, {&change, 1}, current.with_changes({&change, 1}, current.version()));
    }
    if (!issues.empty()) {
        report_failure(context, exit_status::bad_usage, to_string(issues));
        return std::nullopt;
    }
    return change;
}

void set(ctl_context& context, const command_options& options) {
    if (options.remove != options.assignments.empty()) {
        report_failure(context, exit_status::bad_usage, "give either COLUMN=VALUE or --remove");
        return;
    }
    const auto session = open_session(context);
    if (!session) {
        return;
    }
    const auto current = session->replica().current();
    if (const auto change = make_change(context, options, *current)) {
        publish_table(context, *session, current, current->with_changes({&*change, 1}, current->version()),
                      options.publish, "");
    }
}

void add_publish_options(CLI::App& command, publish_options& options) {
    command.add_option("--author", options.author, "Author of the edit; default: the login name");
    command.add_option("--comment", options.comment, "Reason for the edit, shown by history");
    command.add_flag("--wait", options.wait, "Wait until each live node reports the version");
    command.add_option("--timeout", options.wait_timeout_s, "Maximum time for --wait, in seconds")
        ->check(CLI::PositiveNumber)
        ->capture_default_str();
}

using command_function = void (*)(ctl_context&, const command_options&);

CLI::App* add_command(CLI::App& table, ctl_context& context, const std::shared_ptr<command_options>& options,
                      const char* name, const char* help, command_function run) {
    CLI::App* command = table.add_subcommand(name, help);
    command->callback([&context, options, run] { run(context, *options); });
    return command;
}

void add_set(CLI::App& table, ctl_context& context, const std::shared_ptr<command_options>& options) {
    CLI::App* command = add_command(table, context, options, "set",
                                    "Changes, adds or removes one row and publishes it.", set);
    command->add_option("KIND", options->kind, "service, route or account")
        ->required()
        ->check(CLI::IsMember({"service", "route", "account"}));
    command->add_option("KEY", options->key, "Service, host or account")->required();
    command->add_option("SECOND", options->second_key, "Availability zone, path prefix or service")
        ->required();
    command->add_option("COLUMN=VALUE", options->assignments,
                        "Cells to change; an empty value is the default");
    command->add_flag("--remove", options->remove, "Removes the row");
    add_publish_options(*command, options->publish);
}

}  // namespace

void add_table_commands(CLI::App& table, ctl_context& context) {
    const auto options = std::make_shared<command_options>();
    CLI::App* command =
        add_command(table, context, options, "edit", "Writes the table to a new file for editing.", edit);
    command->add_option("FILE", options->file, "File to create")->required();
    add_set(table, context, options);
    command = add_command(table, context, options, "publish", "Publishes the table in a file as one edit.",
                          publish);
    command->add_option("FILE", options->file, "File in the text format that show prints")->required();
    command->add_option("--base", options->base, "Version that the file was written from");
    add_publish_options(*command, options->publish);
    command = add_command(table, context, options, "revert",
                          "Publishes the rows of an earlier version as a new version.", revert);
    command->add_option("VERSION", options->version, "Version whose rows are restored")->required();
    add_publish_options(*command, options->publish);
}

}  // namespace teaselpitch
