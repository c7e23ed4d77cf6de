#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/thread_pool.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "drivers/http/admin_server.h"
#include "drivers/http/caller_server.h"
#include "main/standin_target/execution_log.h"
#include "main/standin_target/fault_plan.h"

namespace teaselpitch {

struct standin_target_options {
    endpoint listen{"127.0.0.1", 0};
    std::optional<endpoint> control;  ///< Second listener for the /_ paths, not affected by faults.
    std::string name = "target";
    std::string service = "service";
    std::uint32_t slots = 4;
    std::vector<endpoint> announce;  ///< Admin listeners of the nodes to announce to.
    std::chrono::milliseconds service_time{5};
    std::chrono::milliseconds cold_start{0};
    std::chrono::milliseconds leave_grace{2'000};  ///< Time from SIGTERM until the listener closes.
    unsigned work_threads = 0;                     ///< Threads that work requests occupy; 0 waits on a timer.
    std::uint64_t seed = 1;                        ///< Seed of the random choice of injected errors.
};

class standin_work;

/// An HTTP target that injects faults. All members are used on its executor.
class standin_target {
public:
    standin_target(boost::asio::any_io_executor executor, standin_target_options options);
    standin_target(const standin_target&) = delete;
    standin_target& operator=(const standin_target&) = delete;
    ~standin_target();

    /// Opens the listeners, starts the periodic announcements and returns the bound endpoint. Returns an
    /// error when an address cannot be bound.
    absl::StatusOr<endpoint> start();

    /// Announces the state "leaving" and completes when all requests are answered.
    awaitable<void> leave();

    /// Handles a request to a /_ path.
    awaitable<admin_response> handle_control(admin_request request);

    /// Drops all connections and, after the restart delay of the fault plan, listens again as a new
    /// incarnation.
    void crash();

    /// Returns the service time of a work request that starts now, with the slowdown by faults and by the
    /// cold start.
    [[nodiscard]] std::chrono::nanoseconds service_time_now(
        std::optional<std::chrono::milliseconds> requested_time) const;

    /// Decides at random, by the error rate of the fault plan, whether a request fails.
    bool should_inject_error();

    [[nodiscard]] std::string_view state() const;

    const standin_target_options options;
    system_time_source clock;
    fault_plan faults;
    execution_log executions;
    boost::asio::thread_pool workers;
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;

private:
    /// The server of one listener with the handler of its connections. A new group starts when the listener
    /// reopens.
    struct connection_group;

    void open_listener();
    void apply_faults();
    void begin_incarnation();
    admin_response set_faults(const std::string& body);
    awaitable<admin_response> handle_probe();
    awaitable<void> announce_loop();
    awaitable<void> announce_all();
    awaitable<void> announce_to(endpoint node, std::string body);
    awaitable<void> restart_after(std::chrono::milliseconds delay);

    boost::asio::any_io_executor executor_;
    // Only the last one may have an open listener.
    std::vector<std::unique_ptr<connection_group>> connection_groups_;
    std::unique_ptr<admin_server> control_server_;
    std::mt19937_64 random_;
    endpoint address_;
    steady_time started_;
    bool leaving_ = false;
    bool crashed_ = false;
    bool listening_ = false;
};

}  // namespace teaselpitch
