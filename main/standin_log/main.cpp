#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/system/system_error.hpp>
#include <csignal>
#include <memory>
#include <string>

#include "core/event_log.h"
#include "main/standin_log/standin_log_server.h"

namespace teaselpitch {
namespace {

constexpr int status_failed = 1;
constexpr int status_usage = 2;

int serve(const endpoint& address, const log_retention& retention) {
    boost::asio::io_context context(1);
    const auto server = std::make_shared<standin_log_server>(context.get_executor(), retention);
    try {
        log_event(event_level::info, "listening", {{"address", to_string(server->listen(address))}});
    } catch (const boost::system::system_error& error) {
        log_event(event_level::error, "listen_failed",
                  {{"address", to_string(address)}, {"reason", error.code().message()}});
        return status_failed;
    }
    boost::asio::signal_set signals(context, SIGINT, SIGTERM);
    signals.async_wait([&context, &server](const boost::system::error_code&, int) {
        server->stop();
        context.stop();
    });
    context.run();
    return 0;
}

int run(int argc, char** argv) {
    CLI::App app("In-memory append-only log service for tests. All records are lost when it stops.");
    app.set_version_flag("--version", TEASELPITCH_VERSION);
    std::string listen = "127.0.0.1:0";
    log_retention retention;
    std::int64_t retention_s = 0;
    app.add_option("--listen", listen, "ADDRESS:PORT to listen on; port 0 selects a free port")
        ->capture_default_str();
    app.add_option("--retention-records", retention.max_records,
                   "Maximum number of records retained per stream; 0 means no limit");
    app.add_option("--retention-s", retention_s,
                   "Maximum age of a retained record in seconds; 0 means no limit")
        ->check(CLI::NonNegativeNumber);
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : status_usage;
    }
    retention.max_age = std::chrono::seconds(retention_s);
    const auto address = parse_endpoint(listen);
    if (!address.ok()) {
        log_event(event_level::error, "bad_usage", {{"listen", listen}, {"reason", "not ADDRESS:PORT"}});
        return status_usage;
    }
    return serve(*address, retention);
}

}  // namespace
}  // namespace teaselpitch

int main(int argc, char** argv) {
    return teaselpitch::run(argc, argv);
}
