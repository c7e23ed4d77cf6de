#include <CLI/CLI.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdio>
#include <string>
#include <vector>

#include "core/event_log.h"
#include "core/identity.h"
#include "main/standin_target/standin_target.h"

namespace {

using namespace teaselpitch;

CLI::Validator endpoint_validator() {
    return {[](std::string& text) {
                return parse_endpoint(text).ok() ? std::string() : "\"" + text + "\" is not ADDRESS:PORT";
            },
            "ADDRESS:PORT"};
}

int run(const standin_target_options& options) {
    boost::asio::io_context context(1);
    standin_target target(context.get_executor(), options);
    const absl::StatusOr<endpoint> bound = target.start();
    if (!bound.ok()) {
        std::fprintf(stderr, "standin-target: %s\n", bound.status().ToString().c_str());
        return 1;
    }
    log_event(event_level::info, "listening", {{"target", options.name}, {"address", to_string(*bound)}});
    std::printf("%s\n", to_string(*bound).c_str());
    std::fflush(stdout);
    boost::asio::signal_set signals(context, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code error, int) {
        if (!error) {
            boost::asio::co_spawn(context, target.leave(),
                                  [&context](const std::exception_ptr&) { context.stop(); });
        }
    });
    context.run();
    return 0;
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app("HTTP target that injects faults, for tests");
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    standin_target_options options;
    std::string listen = "127.0.0.1:0";
    std::string control;
    std::vector<std::string> announce;
    std::int64_t service_time_ms = options.service_time.count();
    std::int64_t cold_start_ms = 0;
    std::int64_t leave_grace_ms = options.leave_grace.count();
    app.add_option("--listen", listen, "Address to listen on; port 0 selects a free port")
        ->check(endpoint_validator());
    app.add_option("--control", control, "Second listener for the /_ paths, not affected by faults")
        ->check(endpoint_validator());
    app.add_option("--name", options.name, "Name of the target");
    app.add_option("--service", options.service, "Name of the service");
    app.add_option("--slots", options.slots, "Maximum number of concurrent requests")
        ->check(CLI::Range(1, 100000));
    app.add_option("--announce", announce, "Admin listener of a node to announce to; repeatable")
        ->check(endpoint_validator());
    app.add_option("--service-time-ms", service_time_ms, "Service time of a work request")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--cold-start-ms", cold_start_ms, "Time in state starting after each start")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--leave-grace-ms", leave_grace_ms, "Time from SIGTERM until the listener closes")
        ->check(CLI::NonNegativeNumber);
    app.add_option("--work-threads", options.work_threads,
                   "Worker threads that work requests occupy; 0 waits on a timer instead")
        ->check(CLI::Range(0, 256));
    app.add_option("--seed", options.seed, "Seed of the random choice of injected errors");
    CLI11_PARSE(app, argc, argv);
    options.listen = *parse_endpoint(listen);
    if (!control.empty()) {
        options.control = *parse_endpoint(control);
    }
    for (const std::string& node : announce) {
        options.announce.push_back(*parse_endpoint(node));
    }
    options.service_time = std::chrono::milliseconds(service_time_ms);
    options.cold_start = std::chrono::milliseconds(cold_start_ms);
    options.leave_grace = std::chrono::milliseconds(leave_grace_ms);
    return run(options);
}
