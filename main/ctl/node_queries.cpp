#include "main/ctl/node_queries.h"

#include <fmt/format.h>

#include <cctype>
#include <chrono>
#include <set>

#include "drivers/http/http_client.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds node_timeout{2'000};

absl::StatusOr<boost::json::object> fetch_json_object(const std::string& address, const std::string& path) {
    const absl::StatusOr<endpoint> node = parse_endpoint(address);
    if (!node.ok()) {
        return node.status();
    }
    http_request request;
    request.path = path;
    const absl::StatusOr<http_reply> reply = send_http_request_blocking(*node, request, node_timeout);
    if (!reply.ok()) {
        return reply.status();
    }
    boost::system::error_code error;
    const boost::json::value body = boost::json::parse(reply->body, error);
    if (error || !body.is_object()) {
        return absl::DataLossError("the response is not a JSON object");
    }
    if (reply->status != 200) {
        const auto* reason = body.as_object().if_contains("error");
        return absl::UnavailableError(reason != nullptr && reason->is_string()
                                          ? std::string(reason->as_string())
                                          : "status " + std::to_string(reply->status));
    }
    return body.as_object();
}

}  // namespace

node_answer query_node(const std::string& address, const std::string& path) {
    return {address, fetch_json_object(address, path)};
}

std::vector<std::string> discover_node_addresses(const ctl_context& context) {
    std::set<std::string> found(context.nodes.begin(), context.nodes.end());
    for (const std::string& address : context.nodes) {
        const node_answer answer = query_node(address, "/v1/status");
        if (!answer.body.ok()) {
            continue;
        }
        for (const boost::json::value& member : answer.body->at("members").as_array()) {
            if (member.at("state").as_string() == "alive") {
                found.emplace(member.at("admin").as_string());
            }
        }
        break;
    }
    return {found.begin(), found.end()};
}

std::vector<node_answer> query_all_nodes(const ctl_context& context, const std::string& path) {
    std::vector<node_answer> answers;
    for (const std::string& address : discover_node_addresses(context)) {
        answers.push_back(query_node(address, path));
    }
    return answers;
}

std::size_t report_unreachable_nodes(const ctl_context& context, const std::vector<node_answer>& answers) {
    std::size_t missing = 0;
    for (const node_answer& answer : answers) {
        if (!answer.body.ok()) {
            ++missing;
            context.err << "missing: " << answer.address
                        << " did not answer: " << std::string(answer.body.status().message()) << '\n';
        }
    }
    return missing;
}

std::string percent_encode(std::string_view text) {
    std::string result;
    for (const char c : text) {
        if (std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.') {
            result += c;
        } else {
            result += fmt::format("%{:02X}", static_cast<unsigned char>(c));
        }
    }
    return result;
}

}  // namespace teaselpitch
