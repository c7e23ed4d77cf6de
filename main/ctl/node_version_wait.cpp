#include "main/ctl/node_version_wait.h"

#include <fmt/format.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <map>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "drivers/log/log_http_client.h"
#include "main/ctl/node_versions.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds poll_interval{200};
constexpr std::chrono::milliseconds status_timeout{1'000};

// Maximum number of lagging nodes that are polled directly in one round.
constexpr std::size_t max_direct_polls_per_round = 64;

// Polls the status of several nodes concurrently and stores the reason of each failed call by address.
class status_poller {
public:
    explicit status_poller(node_versions& versions) : versions_(versions) {}

    void poll(const std::vector<std::string>& addresses) {
        boost::asio::io_context context(1);
        for (const std::string& address : addresses) {
            boost::asio::co_spawn(context, poll_node(address), boost::asio::detached);
        }
        context.run();
    }

    [[nodiscard]] const std::map<std::string, std::string>& failures() const { return failures_; }

private:
    awaitable<void> poll_node(std::string address) {
        const auto parsed = parse_endpoint(address);
        if (!parsed.ok()) {
            failures_[address] = std::string(parsed.status().message());
            co_return;
        }
        log_http::request request;
        request.target = "/v1/status";
        const auto answer = co_await log_http::send_request(*parsed, std::move(request), status_timeout);
        if (!answer.answered || answer.status != 200) {
            failures_[address] = answer.answered ? "status " + std::to_string(answer.status) : answer.detail;
            co_return;
        }
        if (const absl::Status merged = versions_.merge_status(answer.body); !merged.ok()) {
            failures_[address] = std::string(merged.message());
            co_return;
        }
        failures_.erase(address);
    }

    node_versions& versions_;
    std::map<std::string, std::string> failures_;
};

std::vector<std::string> admin_addresses(const node_versions& versions,
                                         const std::vector<std::string>& names) {
    std::vector<std::string> addresses;
    for (const std::string& name : names) {
        const std::string& admin = versions.all().at(name).admin;
        if (!admin.empty() && addresses.size() < max_direct_polls_per_round) {
            addresses.push_back(admin);
        }
    }
    return addresses;
}

void report_lagging_nodes(ctl_context& context, const node_versions& versions, const status_poller& poller,
                          std::uint64_t version) {
    context.err << "error: version " << version
                << " is accepted, but not in effect on each live node in time\n";
    for (const std::string& name : versions.nodes_below_version(version)) {
        const auto& node = versions.all().at(name);
        context.err << "missing: " << name << " zone " << node.zone << " at version " << node.version << '\n';
    }
    for (const auto& [address, reason] : poller.failures()) {
        context.err << "unreachable: " << address << " (" << reason << ")\n";
    }
}

}  // namespace

int wait_for_version(ctl_context& context, std::uint64_t version, std::chrono::milliseconds timeout) {
    const system_time_source clock;
    const steady_time start = clock.now();
    node_versions versions;
    status_poller poller(versions);
    std::string last_progress_line;
    for (;;) {
        versions.reset_liveness();
        poller.poll(context.nodes);
        poller.poll(admin_addresses(versions, versions.nodes_below_version(version)));
        const std::size_t missing = versions.nodes_below_version(version).size();
        const std::size_t live = versions.live_count();
        const std::string line =
            fmt::format("{} of {} live nodes at version {}", live - missing, live, version);
        if (line != last_progress_line) {
            context.err << line << std::endl;
            last_progress_line = line;
        }
        const auto elapsed = clock.now() - start;
        if (missing == 0 && live > 0) {
            return exit_status::ok;
        }
        if (elapsed >= timeout) {
            report_lagging_nodes(context, versions, poller, version);
            return exit_status::not_in_effect_everywhere;
        }
        std::this_thread::sleep_for(poll_interval);
    }
}

}  // namespace teaselpitch
