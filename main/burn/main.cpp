#include <CLI/CLI.hpp>
#include <boost/json.hpp>
#include <chrono>
#include <fstream>
#include <iostream>
#include <set>
#include <string>
#include <vector>

#include "drivers/http/http_client.h"
#include "modules/burn/burn_report.h"

namespace teaselpitch {
namespace {

constexpr int status_ok = 0;
constexpr int status_failed = 1;
constexpr int status_bad_usage = 2;
constexpr int status_incomplete = 3;
constexpr std::chrono::milliseconds node_timeout{2'000};

struct arguments {
    std::vector<std::string> nodes;
    std::string output = "text";
    std::string html_path;
    bool only_named_nodes = false;
};

absl::StatusOr<std::string> fetch_body(const std::string& node, const std::string& path) {
    const absl::StatusOr<endpoint> address = parse_endpoint(node);
    if (!address.ok()) {
        return address.status();
    }
    http_request request;
    request.path = path;
    const absl::StatusOr<http_reply> reply = send_http_request_blocking(*address, request, node_timeout);
    if (!reply.ok()) {
        return reply.status();
    }
    if (reply->status != 200) {
        return absl::UnavailableError("status " + std::to_string(reply->status));
    }
    return reply->body;
}

// Adds the alive members that each responding node reports, so one --node address is enough.
std::set<std::string> discover_nodes(const arguments& given) {
    std::set<std::string> nodes(given.nodes.begin(), given.nodes.end());
    if (given.only_named_nodes) {
        return nodes;
    }
    for (const std::string& node : given.nodes) {
        const auto body = fetch_body(node, "/v1/status");
        if (!body.ok()) {
            continue;
        }
        boost::system::error_code error;
        const boost::json::value status = boost::json::parse(*body, error);
        if (error || !status.is_object() || !status.as_object().contains("members")) {
            continue;
        }
        for (const boost::json::value& member : status.at("members").as_array()) {
            if (member.at("state").as_string() == "alive") {
                nodes.emplace(member.at("admin").as_string());
            }
        }
    }
    return nodes;
}

burn_report collect_burn_report(const std::set<std::string>& nodes) {
    std::vector<node_outcome_counts> answers;
    std::vector<std::string> missing_nodes;
    for (const std::string& node : nodes) {
        const auto body = fetch_body(node, "/v1/burn");
        const auto answer =
            body.ok() ? parse_node_counts_json(*body) : absl::StatusOr<node_outcome_counts>(body.status());
        if (answer.ok()) {
            answers.push_back(*answer);
        } else {
            missing_nodes.push_back(node + " (" + std::string(answer.status().message()) + ")");
        }
    }
    return merge_node_counts(answers, std::move(missing_nodes));
}

int run(const arguments& given) {
    const burn_report report = collect_burn_report(discover_nodes(given));
    std::cout << (given.output == "json" ? format_burn_json(report) + "\n" : format_burn_text(report));
    if (!given.html_path.empty()) {
        std::ofstream file(given.html_path);
        file << format_burn_html(report);
        if (!file.flush()) {
            std::cerr << "cannot write " << given.html_path << "\n";
            return status_failed;
        }
    }
    if (report.nodes.empty()) {
        std::cerr << "no node answered\n";
        return status_failed;
    }
    return report.missing_nodes.empty() ? status_ok : status_incomplete;
}

}  // namespace
}  // namespace teaselpitch

int main(int argc, char** argv) {
    CLI::App app{"Reports how much of the error budget of each service was used, as measured at the callers"};
    teaselpitch::arguments given;
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    app.add_option("--node", given.nodes, "Admin listener ADDRESS:PORT; repeatable")->required();
    app.add_flag("--only-named", given.only_named_nodes,
                 "Query only the nodes given with --node, not the other members");
    app.add_option("--output", given.output, "Output format: text or json")
        ->check(CLI::IsMember({"text", "json"}));
    app.add_option("--html", given.html_path,
                   "Also write the report as a self-contained HTML page to this file");
    app.footer("Exit status: 0 ok, 1 failed, 2 bad usage, 3 some nodes did not answer.");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : teaselpitch::status_bad_usage;
    }
    return teaselpitch::run(given);
}
