#include <CLI/CLI.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "main/ctl/table_group.h"
#include "main/ctl/table_json.h"
#include "main/ctl/table_source.h"
#include "servers/table/columns.h"
#include "servers/table/csv_reader.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

struct query_options {
    std::optional<std::uint64_t> version;
    std::optional<std::uint64_t> from;
    std::optional<std::uint64_t> to;
    std::string kind;
    std::string key;
    std::string second_key{wildcard};
    std::string file;
    std::string edit_id;
    std::size_t limit = 20;
};

void show(ctl_context& context, const query_options& options) {
    const auto session =
        open_session(context, options.version ? std::set{*options.version} : std::set<std::uint64_t>());
    if (!session) {
        return;
    }
    const auto value =
        find_version(context, *session, options.version.value_or(session->replica().version()));
    if (!value) {
        return;
    }
    if (context.json_output()) {
        context.out << json::serialize(to_json(*value)) << '\n';
    } else {
        context.out << write_table_csv(*value);
    }
}

std::optional<any_row> find_row(const table& value, row_kind kind, row_key key_to_find) {
    const auto find = [&key_to_find](const auto& rows) -> std::optional<any_row> {
        const auto* row = rows.find(key_to_find);
        return row == nullptr ? std::nullopt : std::optional<any_row>(*row);
    };
    switch (kind) {
        case row_kind::service:
            return find(value.services());
        case row_kind::route:
            return find(value.routes());
        case row_kind::account:
            break;
    }
    return find(value.accounts());
}

void get(ctl_context& context, const query_options& options) {
    const auto session = open_session(context);
    if (!session) {
        return;
    }
    const row_kind kind = *parse_row_kind(options.kind);
    const auto row = find_row(*session->replica().current(), kind, {options.key, options.second_key});
    if (!row) {
        report_failure(context, exit_status::failed,
                       "no " + options.kind + " row with this key in version " +
                           std::to_string(session->replica().version()));
        return;
    }
    if (context.json_output()) {
        context.out << json::serialize(to_json(*row)) << '\n';
        return;
    }
    const std::vector<std::string> cells = cells_of(*row);
    for (std::size_t i = 0; i < cells.size(); ++i) {
        context.out << columns_of(kind)[i].name << '=' << cells[i] << '\n';
    }
}

void print_differences(ctl_context& context, const table& before, const table& after) {
    const auto differences = diff_tables(before, after);
    if (context.json_output()) {
        context.out << json::serialize(json::object{{"from", before.version()},
                                                    {"to", after.version()},
                                                    {"differences", to_json(differences)}})
                    << '\n';
        return;
    }
    for (const row_difference& difference : differences) {
        context.out << to_string(difference) << '\n';
    }
    context.out << differences.size() << " rows differ\n";
}

void diff_file(ctl_context& context, const query_options& options) {
    const auto parsed = read_table_file(context, options.file);
    if (!parsed) {
        return;
    }
    const auto session = open_session(
        context, parsed->base_version ? std::set{*parsed->base_version} : std::set<std::uint64_t>());
    if (!session) {
        return;
    }
    const auto base =
        find_version(context, *session,
                     options.from.value_or(parsed->base_version.value_or(session->replica().version())));
    if (base) {
        print_differences(context, *base, parsed->value);
    }
}

void diff_versions(ctl_context& context, const query_options& options) {
    if (!options.from) {
        report_failure(context, exit_status::bad_usage, "give a FILE or --from VERSION");
        return;
    }
    const auto session = open_session(context, {*options.from, options.to.value_or(*options.from)});
    if (!session) {
        return;
    }
    const auto before = find_version(context, *session, *options.from);
    const auto after = find_version(context, *session, options.to.value_or(session->replica().version()));
    if (before && after) {
        print_differences(context, *before, *after);
    }
}

void validate(ctl_context& context, const query_options& options) {
    const auto text = read_file(options.file);
    if (!text) {
        report_failure(context, exit_status::bad_usage, "cannot read " + options.file);
        return;
    }
    const std::vector<table_issue> issues = parse_table_csv(*text).issues;
    context.status = issues.empty() ? exit_status::ok : exit_status::bad_usage;
    if (context.json_output()) {
        context.out << json::serialize(json::object{{"valid", issues.empty()}, {"issues", to_json(issues)}})
                    << '\n';
        return;
    }
    for (const table_issue& issue : issues) {
        context.out << options.file << ": " << to_string(issue) << '\n';
    }
    context.out << (issues.empty() ? "valid\n" : std::to_string(issues.size()) + " errors\n");
}

void print_history_entry(ctl_context& context, const history_entry& entry) {
    const edit_result& result = entry.result;
    context.out << (result.accepted ? "accepted version " : "rejected at version ") << result.version
                << " edit " << result.edit_id << " author " << result.author;
    if (!entry.comment.empty()) {
        context.out << " comment \"" << entry.comment << '"';
    }
    context.out << '\n';
    if (!result.accepted) {
        context.out << "    " << result.reason << '\n';
    }
    for (const std::string& change : entry.changes) {
        context.out << "    " << change << '\n';
    }
}

void show_history(ctl_context& context, const query_options& options) {
    const auto session = open_session(context);
    if (!session) {
        return;
    }
    std::vector<history_entry> entries = session->history();
    if (!options.edit_id.empty()) {
        std::erase_if(entries, [&options](const history_entry& entry) {
            return entry.result.edit_id != options.edit_id;
        });
        if (entries.empty()) {
            report_failure(context, exit_status::failed,
                           "edit " + options.edit_id + " is not on the log; it has no effect up to offset " +
                               std::to_string(session->replica().as_of()));
        }
    }
    if (entries.size() > options.limit) {
        entries.erase(entries.begin(), entries.end() - static_cast<std::ptrdiff_t>(options.limit));
    }
    if (context.json_output()) {
        context.out << json::serialize(json::object{{"version", session->replica().version()},
                                                    {"edits", to_json(entries)}})
                    << '\n';
        return;
    }
    for (const history_entry& entry : entries) {
        print_history_entry(context, entry);
    }
}

using query_function = void (*)(ctl_context&, const query_options&);

CLI::App* add_query(CLI::App& table, ctl_context& context, const std::shared_ptr<query_options>& options,
                    const char* name, const char* help, query_function run) {
    CLI::App* command = table.add_subcommand(name, help);
    command->callback([&context, options, run] { run(context, *options); });
    return command;
}

void add_show_and_get(CLI::App& table, ctl_context& context, const std::shared_ptr<query_options>& options) {
    CLI::App* command = add_query(table, context, options, "show",
                                  "Prints the table; the text output is the input of publish.", show);
    command->add_option("--at", options->version, "Version to print instead of the current one");
    command = add_query(table, context, options, "get", "Prints one row.", get);
    command->add_option("KIND", options->kind, "service, route or account")
        ->required()
        ->check(CLI::IsMember({"service", "route", "account"}));
    command->add_option("KEY", options->key, "Service, host or account")->required();
    command->add_option("SECOND", options->second_key, "Availability zone, path prefix or service")
        ->capture_default_str();
}

}  // namespace

void add_table_queries(CLI::App& table, ctl_context& context) {
    const auto options = std::make_shared<query_options>();
    add_show_and_get(table, context, options);
    CLI::App* command = add_query(table, context, options, "diff",
                                  "Prints what a file changes, or what changed between versions.",
                                  [](ctl_context& c, const query_options& o) {
                                      o.file.empty() ? diff_versions(c, o) : diff_file(c, o);
                                  });
    command->add_option("FILE", options->file, "File to compare with the version that it was written from");
    command->add_option("--from", options->from, "Version to compare from");
    command->add_option("--to", options->to, "Version to compare with; default: the current one");
    command = add_query(table, context, options, "validate", "Validates a file without contacting the log.",
                        validate);
    command->add_option("FILE", options->file, "File to check")->required();
    command = add_query(table, context, options, "history",
                        "Prints the recent edits and whether they were accepted.", show_history);
    command->add_option("--limit", options->limit, "Maximum number of edits to print, the latest ones")
        ->capture_default_str();
    command->add_option("--edit", options->edit_id, "Prints only the edit with this id");
}

}  // namespace teaselpitch
