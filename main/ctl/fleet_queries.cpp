#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <map>
#include <memory>

#include "main/ctl/fleet_group.h"
#include "main/ctl/node_queries.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

bool require_nodes(ctl_context& context) {
    if (!context.nodes.empty()) {
        return true;
    }
    context.err << "error: --node ADDRESS:PORT is required\n";
    context.status = exit_status::bad_usage;
    return false;
}

std::string field_text(const json::object& object, std::string_view key) {
    const json::value* value = object.if_contains(key);
    if (value == nullptr) {
        return "";
    }
    return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

json::array successful_bodies(const std::vector<node_answer>& answers) {
    json::array result;
    for (const node_answer& answer : answers) {
        if (answer.body.ok()) {
            result.push_back(*answer.body);
        }
    }
    return result;
}

json::array failed_addresses(const std::vector<node_answer>& answers) {
    json::array result;
    for (const node_answer& answer : answers) {
        if (!answer.body.ok()) {
            result.push_back(json::value(answer.address));
        }
    }
    return result;
}

void print_nodes(std::ostream& out, const std::vector<node_answer>& answers) {
    std::int64_t newest_version = 0;
    for (const node_answer& answer : answers) {
        if (answer.body.ok()) {
            newest_version =
                std::max(newest_version, answer.body->at("table_version").to_number<std::int64_t>());
        }
    }
    out << fmt::format("{:<20} {:<14} {:>8} {:<6} {:<9} {:<8} {}\n", "node", "zone", "version", "log",
                       "draining", "targets", "note");
    for (const node_answer& answer : answers) {
        if (!answer.body.ok()) {
            continue;
        }
        const json::object& body = *answer.body;
        const bool lags = body.at("table_version").to_number<std::int64_t>() < newest_version;
        out << fmt::format("{:<20} {:<14} {:>8} {:<6} {:<9} {:<8} {}\n", field_text(body, "node"),
                           field_text(body, "zone"), field_text(body, "table_version"),
                           body.at("log_available").as_bool() ? "up" : "away", field_text(body, "draining"),
                           body.at("guarded").as_array().size(),
                           lags ? "lags behind the newest version" : "");
    }
}

// Nodes can disagree about the state of a target, so each state is printed with the number of nodes that
// report it.
void print_targets(std::ostream& out, const std::vector<node_answer>& answers) {
    std::map<std::string, std::map<std::string, std::size_t>> views;
    for (const node_answer& answer : answers) {
        if (!answer.body.ok()) {
            continue;
        }
        for (const json::value& service : answer.body->at("services").as_array()) {
            for (const json::value& target : service.at("targets").as_array()) {
                const json::object& entry = target.as_object();
                const std::string line =
                    fmt::format("{:<16} {:<24} {:<14}", field_text(service.as_object(), "name"),
                                field_text(entry, "name"), field_text(entry, "zone"));
                ++views[line][fmt::format("{} share={:.2g} badness={:.2g}", field_text(entry, "state"),
                                          entry.at("share").to_number<double>(),
                                          entry.at("badness").to_number<double>())];
            }
        }
    }
    out << fmt::format("{:<16} {:<24} {:<14} {}\n", "service", "target", "zone", "views (nodes)");
    for (const auto& [line, states] : views) {
        out << line;
        for (const auto& [state, nodes] : states) {
            out << fmt::format(" {} ({})", state, nodes);
        }
        out << '\n';
    }
}

void show_status(ctl_context& context) {
    if (!require_nodes(context)) {
        return;
    }
    const std::vector<node_answer> answers = query_all_nodes(context, "/v1/status");
    if (context.json_output()) {
        context.out << json::serialize(json::object{{"nodes", successful_bodies(answers)},
                                                    {"missing", failed_addresses(answers)}})
                    << '\n';
    } else {
        print_nodes(context.out, answers);
        print_targets(context.out, answers);
    }
    if (report_unreachable_nodes(context, answers) > 0) {
        context.status = exit_status::failed;
    }
}

struct node_record {
    std::int64_t time_ms = 0;
    std::string node;
    json::object record;
};

std::vector<node_record> merge_records_by_time(const std::vector<node_answer>& answers) {
    std::vector<node_record> found;
    for (const node_answer& answer : answers) {
        if (!answer.body.ok()) {
            continue;
        }
        for (const json::value& record : answer.body->at("records").as_array()) {
            found.push_back({record.at("time_ms").to_number<std::int64_t>(), field_text(*answer.body, "node"),
                             record.as_object()});
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const node_record& a, const node_record& b) { return a.time_ms < b.time_ms; });
    return found;
}

std::string format_utc_time(std::int64_t time_ms) {
    constexpr std::int64_t ms_per_s = 1000;
    const std::time_t seconds = time_ms / ms_per_s;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900, parts.tm_mon + 1,
                       parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, time_ms % ms_per_s);
}

void print_record(std::ostream& out, const node_record& entry) {
    out << fmt::format("{} {} {} {} {}\n  rule: {}\n", format_utc_time(entry.time_ms), entry.node,
                       field_text(entry.record, "kind"), field_text(entry.record, "id"),
                       field_text(entry.record, "decision"), field_text(entry.record, "rule"));
    for (const json::value& evidence_item : entry.record.at("evidence").as_array()) {
        out << fmt::format("  {}: {}\n", field_text(evidence_item.as_object(), "name"),
                           field_text(evidence_item.as_object(), "value"));
    }
}

struct explain_arguments {
    std::string kind;
    std::string id;
    std::uint32_t limit = 50;
};

void explain(ctl_context& context, const explain_arguments& query) {
    if (!require_nodes(context)) {
        return;
    }
    const std::string path =
        fmt::format("/v1/explain?kind={}&id={}&limit={}", query.kind, percent_encode(query.id), query.limit);
    const std::vector<node_answer> answers = query_all_nodes(context, path);
    const std::vector<node_record> found = merge_records_by_time(answers);
    if (context.json_output()) {
        json::array records;
        for (const node_record& entry : found) {
            json::object record = entry.record;
            record["node"] = entry.node;
            records.push_back(std::move(record));
        }
        context.out << json::serialize(
                           json::object{{"records", records}, {"missing", failed_addresses(answers)}})
                    << '\n';
    } else {
        for (const node_record& entry : found) {
            print_record(context.out, entry);
        }
    }
    const std::size_t missing = report_unreachable_nodes(context, answers);
    if (found.empty()) {
        context.err << "no decision record for " << query.kind << " " << query.id
                    << " on the nodes that answered\n";
    }
    if (found.empty() || missing == answers.size()) {
        context.status = exit_status::failed;
    }
}

}  // namespace

void add_fleet_queries(CLI::App& app, ctl_context& context) {
    CLI::App* status = app.add_subcommand(
        "status", "Shows nodes, targets, the table version of each node and the nodes that lag behind.");
    status->callback([&context] { show_status(context); });

    CLI::App* explain_command = app.add_subcommand(
        "explain",
        "Explains the decisions about a target, request, edit or service, from the records of all nodes.");
    auto query = std::make_shared<explain_arguments>();
    explain_command->add_option("KIND", query->kind, "target, request, edit or service")
        ->required()
        ->check(CLI::IsMember({"target", "request", "edit", "service"}));
    explain_command->add_option("ID", query->id, "Name of the target or service, request id or edit id")
        ->required();
    explain_command
        ->add_option("--limit", query->limit, "Maximum number of records from each node, the latest ones")
        ->check(CLI::Range(1, 4096))
        ->capture_default_str();
    explain_command->callback([&context, query] { explain(context, *query); });
}

}  // namespace teaselpitch
