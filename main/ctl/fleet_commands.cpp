#include <CLI/CLI.hpp>
#include <chrono>
#include <memory>

#include "drivers/http/http_client.h"
#include "main/ctl/fleet_group.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds drain_timeout{5'000};
constexpr unsigned status_accepted = 202;

void drain_node(ctl_context& context, const std::string& address) {
    const absl::StatusOr<endpoint> node = parse_endpoint(address);
    if (!node.ok()) {
        context.err << "error: " << std::string(node.status().message()) << '\n';
        context.status = exit_status::bad_usage;
        return;
    }
    http_request request;
    request.method = "POST";
    request.path = "/v1/drain";
    const absl::StatusOr<http_reply> reply = send_http_request_blocking(*node, request, drain_timeout);
    if (!reply.ok() || reply->status != status_accepted) {
        context.err << "error: " << address << " did not confirm the drain: "
                    << (reply.ok() ? "status " + std::to_string(reply->status)
                                   : std::string(reply.status().message()))
                    << '\n';
        context.status = exit_status::failed;
        return;
    }
    context.out << address << " drains and stops when its requests have finished\n";
}

}  // namespace

void add_fleet_commands(CLI::App& app, ctl_context& context) {
    CLI::App* command = app.add_subcommand("drain", "Stops one node gracefully.");
    auto address = std::make_shared<std::string>();
    command->add_option("ADDRESS:PORT", *address, "Admin listener of the node")->required();
    command->callback([&context, address] { drain_node(context, *address); });
}

}  // namespace teaselpitch
