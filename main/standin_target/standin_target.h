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

struct standin_options {
    endpoint listen{"127.0.0.1", 0};
    std::optional<endpoint> control;  ///< A second listener for the /_ paths that no fault affects.
    std::string name = "target";
    std::string service = "service";
    std::uint32_t slots = 4;
    std::vector<endpoint> announce;  ///< Admin listeners of nodes.
    std::chrono::milliseconds service_time{5};
    std::chrono::milliseconds cold_start{0};
    std::chrono::milliseconds leave_grace{2'000};  ///< After SIGTERM, before the listener closes.
    unsigned work_threads = 0;                     ///< Workers that work occupies; 0 waits on a timer.
    std::uint64_t seed = 1;                        ///< Of the errors of error_rate.
};

class standin_work;

/// An HTTP target with injected faults. It runs on one executor.
class standin_target {
public:
    standin_target(boost::asio::any_io_executor executor, standin_options options);
    standin_target(const standin_target&) = delete;
    standin_target& operator=(const standin_target&) = delete;
    ~standin_target();

    /// Listens, starts to announce, and returns the bound endpoint.
    absl::StatusOr<endpoint> start();

    /// Announces leaving and completes when all requests are answered.
    awaitable<void> leave();

    /// Answers a /_ path.
    awaitable<admin_response> control(admin_request request);

    /// Drops all connections and comes back as a new incarnation.
    void crash();

    /// The time that a piece of work takes now, with faults and the cold start.
    [[nodiscard]] std::chrono::nanoseconds work_time(std::optional<std::chrono::milliseconds> asked) const;

    /// Draws whether this work fails.
    bool draw_error();

    [[nodiscard]] std::string_view state() const;

    const standin_options options;
    system_time_source clock;
    fault_plan faults;
    execution_log executions;
    boost::asio::thread_pool workers;
    std::uint64_t incarnation = 0;
    std::uint32_t running = 0;

private:
    /// The connections that were accepted between two changes of the listener.
    struct generation;

    void open_listener();
    void apply_faults();
    void begin_life();
    admin_response set_faults(const std::string& body);
    awaitable<admin_response> probe();
    awaitable<void> announce_loop();
    awaitable<void> announce_all();
    awaitable<void> announce_to(endpoint node, std::string body);
    awaitable<void> restart_after(std::chrono::milliseconds delay);

    boost::asio::any_io_executor executor_;
    std::vector<std::unique_ptr<generation>> generations_;  // The last one may have the listener.
    std::unique_ptr<admin_server> control_server_;
    std::mt19937_64 random_;
    endpoint address_;
    steady_time started_;
    bool leaving_ = false;
    bool crashed_ = false;
    bool listening_ = false;
};

}  // namespace teaselpitch
