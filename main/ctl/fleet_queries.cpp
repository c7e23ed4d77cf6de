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

std::string text_of(const json::object& object, std::string_view key) {
    const json::value* value = object.if_contains(key);
    if (value == nullptr) {
        return "";
    }
    return value->is_string() ? std::string(value->as_string()) : json::serialize(*value);
}

json::array bodies_of(const std::vector<node_answer>& answers) {
    json::array result;
    for (const node_answer& answer : answers) {
        if (answer.body.ok()) {
            result.push_back(*answer.body);
        }
    }
    return result;
}

json::array missing_of(const std::vector<node_answer>& answers) {
    json::array result;
    for (const node_answer& answer : answers) {
        if (!answer.body.ok()) {
            result.push_back(json::value(answer.address));
        }
    }
    return result;
}

void print_nodes(std::ostream& out, const std::vector<node_answer>& answers) {
    std::int64_t newest = 0;
    for (const node_answer& answer : answers) {
        if (answer.body.ok()) {
            newest = std::max(newest, answer.body->at("table_version").to_number<std::int64_t>());
        }
    }
    out << fmt::format("{:<20} {:<14} {:>8} {:<6} {:<9} {:<8} {}\n", "node", "zone", "version", "log",
                       "draining", "targets", "note");
    for (const node_answer& answer : answers) {
        if (!answer.body.ok()) {
            continue;
        }
        const json::object& body = *answer.body;
        const bool lags = body.at("table_version").to_number<std::int64_t>() < newest;
        out << fmt::format("{:<20} {:<14} {:>8} {:<6} {:<9} {:<8} {}\n", text_of(body, "node"),
                           text_of(body, "zone"), text_of(body, "table_version"),
                           body.at("log_available").as_bool() ? "up" : "away", text_of(body, "draining"),
                           body.at("guarded").as_array().size(),
                           lags ? "lags behind the newest version" : "");
    }
}

// Views differ between nodes, so a target's line says how many nodes hold each view.
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
                    fmt::format("{:<16} {:<24} {:<14}", text_of(service.as_object(), "name"),
                                text_of(entry, "name"), text_of(entry, "zone"));
                ++views[line][fmt::format("{} share={:.2g} badness={:.2g}", text_of(entry, "state"),
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
    const std::vector<node_answer> answers = ask_all_nodes(context, "/v1/status");
    if (context.json()) {
        context.out << json::serialize(
                           json::object{{"nodes", bodies_of(answers)}, {"missing", missing_of(answers)}})
                    << '\n';
    } else {
        print_nodes(context.out, answers);
        print_targets(context.out, answers);
    }
    if (report_missing(context, answers) > 0) {
        context.status = exit_status::failed;
    }
}

struct found_record {
    std::int64_t time_ms = 0;
    std::string node;
    json::object record;
};

std::vector<found_record> join_records(const std::vector<node_answer>& answers) {
    std::vector<found_record> found;
    for (const node_answer& answer : answers) {
        if (!answer.body.ok()) {
            continue;
        }
        for (const json::value& record : answer.body->at("records").as_array()) {
            found.push_back({record.at("time_ms").to_number<std::int64_t>(), text_of(*answer.body, "node"),
                             record.as_object()});
        }
    }
    std::stable_sort(found.begin(), found.end(),
                     [](const found_record& a, const found_record& b) { return a.time_ms < b.time_ms; });
    return found;
}

std::string time_text(std::int64_t time_ms) {
    constexpr std::int64_t ms_per_s = 1000;
    const std::time_t seconds = time_ms / ms_per_s;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    return fmt::format("{:04}-{:02}-{:02}T{:02}:{:02}:{:02}.{:03}Z", parts.tm_year + 1900, parts.tm_mon + 1,
                       parts.tm_mday, parts.tm_hour, parts.tm_min, parts.tm_sec, time_ms % ms_per_s);
}

void print_record(std::ostream& out, const found_record& entry) {
    out << fmt::format("{} {} {} {} {}\n  rule: {}\n", time_text(entry.time_ms), entry.node,
                       text_of(entry.record, "kind"), text_of(entry.record, "id"),
                       text_of(entry.record, "decision"), text_of(entry.record, "rule"));
    for (const json::value& figure : entry.record.at("evidence").as_array()) {
        out << fmt::format("  {}: {}\n", text_of(figure.as_object(), "name"),
                           text_of(figure.as_object(), "value"));
    }
}

struct explain_arguments {
    std::string kind;
    std::string id;
    std::uint32_t limit = 50;
};

void explain(ctl_context& context, const explain_arguments& wanted) {
    if (!require_nodes(context)) {
        return;
    }
    const std::string path =
        fmt::format("/v1/explain?kind={}&id={}&limit={}", wanted.kind, query_escape(wanted.id), wanted.limit);
    const std::vector<node_answer> answers = ask_all_nodes(context, path);
    const std::vector<found_record> found = join_records(answers);
    if (context.json()) {
        json::array records;
        for (const found_record& entry : found) {
            json::object record = entry.record;
            record["node"] = entry.node;
            records.push_back(std::move(record));
        }
        context.out << json::serialize(json::object{{"records", records}, {"missing", missing_of(answers)}})
                    << '\n';
    } else {
        for (const found_record& entry : found) {
            print_record(context.out, entry);
        }
    }
    const std::size_t missing = report_missing(context, answers);
    if (found.empty()) {
        context.err << "no decision about " << wanted.kind << " " << wanted.id
                    << " is remembered by the nodes that answered\n";
    }
    if (found.empty() || missing == answers.size()) {
        context.status = exit_status::failed;
    }
}

}  // namespace

void add_fleet_queries(CLI::App& app, ctl_context& context) {
    CLI::App* status = app.add_subcommand("status", "Shows nodes, targets, versions in force and who lags.");
    status->callback([&context] { show_status(context); });

    CLI::App* why = app.add_subcommand(
        "explain", "Tells why a target, request, edit or service was treated as it was, from all nodes.");
    auto wanted = std::make_shared<explain_arguments>();
    why->add_option("KIND", wanted->kind, "target, request, edit or service")
        ->required()
        ->check(CLI::IsMember({"target", "request", "edit", "service"}));
    why->add_option("ID", wanted->id, "Name of the target or service, request id or edit id")->required();
    why->add_option("--limit", wanted->limit, "Latest records of each node")
        ->check(CLI::Range(1, 4096))
        ->capture_default_str();
    why->callback([&context, wanted] { explain(context, *wanted); });
}

}  // namespace teaselpitch
