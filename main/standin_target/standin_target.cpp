#include "main/standin_target/standin_target.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <utility>

#include "core/event_log.h"
#include "drivers/http/asio_types.h"
#include "drivers/http/error_reply.h"
#include "drivers/http/http_client.h"
#include "main/standin_target/standin_work.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds announce_interval{1'000};
constexpr std::chrono::milliseconds announce_timeout{900};
/// Factor on the service time at the beginning of a cold start; it falls linearly to 1.
constexpr double cold_start_slowdown = 4;

admin_response make_error_response(unsigned status, std::string_view detail) {
    return {status, "application/json", "{\"error\":" + json_quote(detail) + "}\n"};
}

}  // namespace

struct standin_target::connection_group {
    explicit connection_group(standin_target& target) : work(target) {}

    standin_work work;
    std::unique_ptr<caller_server> server;
};

standin_target::standin_target(net::any_io_executor executor, standin_target_options options_in)
    : options(std::move(options_in)),
      workers(std::max(1U, options.work_threads)),
      executor_(std::move(executor)),
      random_(options.seed),
      address_(options.listen) {}

standin_target::~standin_target() {
    workers.join();
}

absl::StatusOr<endpoint> standin_target::start() {
    begin_incarnation();
    open_listener();
    if (!listening_) {
        return absl::UnavailableError("cannot listen on " + to_string(address_));
    }
    if (options.control.has_value()) {
        control_server_ = std::make_unique<admin_server>(
            executor_, admin_server_options{.listen = *options.control},
            [this](admin_request request) { return handle_control(std::move(request)); });
        const absl::StatusOr<endpoint> bound = control_server_->start();
        if (!bound.ok()) {
            return bound.status();
        }
        log_event(event_level::info, "control_listening", {{"address", to_string(*bound)}});
    }
    net::co_spawn(executor_, announce_loop(), net::detached);
    return address_;
}

void standin_target::begin_incarnation() {
    const auto since_epoch = clock.wall_now().time_since_epoch();
    const auto now = std::chrono::duration_cast<std::chrono::microseconds>(since_epoch).count();
    incarnation = std::max<std::uint64_t>(incarnation + 1, static_cast<std::uint64_t>(now));
    started_ = clock.now();
}

void standin_target::open_listener() {
    auto next = std::make_unique<connection_group>(*this);
    caller_server_options server;
    server.listen = address_;
    server.limits.idle_timeout = std::chrono::minutes(10);
    next->server =
        std::make_unique<caller_server>(executor_, server, next->work, clock, [] { return std::string(); });
    const absl::StatusOr<endpoint> bound = next->server->start();
    listening_ = bound.ok();
    if (!bound.ok()) {
        log_event(event_level::error, "listen_failed", {{"reason", bound.status().ToString()}});
        return;
    }
    address_ = *bound;
    connection_groups_.push_back(std::move(next));
}

void standin_target::crash() {
    if (crashed_) {
        return;
    }
    crashed_ = true;
    listening_ = false;
    executions.mark_running_as_crashed();
    log_event(event_level::warning, "crashed", {{"incarnation", incarnation}});
    // Destroys only the servers. The work handlers must stay, because their coroutines still unwind.
    for (const auto& old : connection_groups_) {
        old->server.reset();
    }
    net::co_spawn(executor_, restart_after(std::chrono::milliseconds(faults.restart_delay_ms)),
                  net::detached);
}

awaitable<void> standin_target::restart_after(std::chrono::milliseconds delay) {
    net::steady_timer timer(executor_, delay);
    co_await timer.async_wait(tuple_awaitable);
    crashed_ = false;
    begin_incarnation();
    apply_faults();
}

void standin_target::apply_faults() {
    if (crashed_) {
        return;
    }
    if (faults.stop_accepting && listening_) {
        connection_groups_.back()->server->stop_accepting();
        listening_ = false;
    } else if (!faults.stop_accepting && !listening_) {
        open_listener();
    }
}

admin_response standin_target::set_faults(const std::string& body) {
    const bool was_unresponsive = faults.unresponsive;
    const absl::Status status = update_fault_plan(faults, body, clock.now());
    if (!status.ok()) {
        return make_error_response(400, std::string_view(status.message().data(), status.message().size()));
    }
    if (faults.unresponsive != was_unresponsive) {
        for (const auto& group : connection_groups_) {
            group->work.unresponsive = faults.unresponsive;
        }
        if (faults.unresponsive && listening_) {
            connection_groups_.back()->server->stop_accepting();
            open_listener();
        }
    }
    apply_faults();
    return {200, "application/json", format_fault_plan(faults)};
}

awaitable<admin_response> standin_target::handle_probe() {
    const bool faulty = faults.work_faults_active(clock.now()) && !faults.probes_succeed;
    if (faulty && faults.hang) {
        net::steady_timer timer(executor_, std::chrono::hours(1));
        co_await timer.async_wait(net::use_awaitable);
    }
    if (faulty && should_inject_error()) {
        co_return make_error_response(500, "injected error");
    }
    co_return admin_response{200, "application/json",
                             "{\"state\":" + json_quote(state()) + ",\"running\":" + std::to_string(running) +
                                 ",\"slots\":" + std::to_string(options.slots) + "}\n"};
}

awaitable<admin_response> standin_target::handle_control(admin_request request) {
    if (request.path == "/_health" && request.method == "GET") {
        co_return co_await handle_probe();
    }
    if (request.path == "/_executions" && request.method == "GET") {
        const std::string& from = request.query["from"];
        std::uint64_t sequence = 0;
        std::from_chars(from.data(), from.data() + from.size(), sequence);
        co_return admin_response{200, "application/x-ndjson", executions.format_json_lines(sequence)};
    }
    if (request.path == "/_faults" && request.method == "GET") {
        co_return admin_response{200, "application/json", format_fault_plan(faults)};
    }
    if (request.path == "/_faults" && request.method == "POST") {
        co_return set_faults(request.body);
    }
    if (request.path == "/_leave" && request.method == "POST") {
        leaving_ = true;
        co_await announce_all();
        co_return admin_response{200, "application/json", "{\"state\":\"leaving\"}\n"};
    }
    co_return make_error_response(404, "unknown path or method");
}

std::string_view standin_target::state() const {
    if (leaving_) {
        return "leaving";
    }
    return clock.now() - started_ < options.cold_start ? "starting" : "ready";
}

std::chrono::nanoseconds standin_target::service_time_now(
    std::optional<std::chrono::milliseconds> requested_time) const {
    using seconds = std::chrono::duration<double>;
    seconds time = requested_time.value_or(options.service_time);
    const steady_time now = clock.now();
    if (faults.work_faults_active(now)) {
        time *= faults.slow_factor;
    }
    if (now - started_ < options.cold_start) {
        const double remaining_fraction = 1 - seconds(now - started_) / seconds(options.cold_start);
        time *= 1 + (cold_start_slowdown - 1) * remaining_fraction;
    }
    return std::chrono::duration_cast<std::chrono::nanoseconds>(time);
}

bool standin_target::should_inject_error() {
    return faults.error_rate > 0 && faults.work_faults_active(clock.now()) &&
           std::uniform_real_distribution<double>(0, 1)(random_) < faults.error_rate;
}

awaitable<void> standin_target::announce_loop() {
    net::steady_timer timer(executor_);
    for (;;) {
        if (!crashed_) {
            net::co_spawn(executor_, announce_all(), net::detached);
        }
        timer.expires_after(announce_interval);
        co_await timer.async_wait(tuple_awaitable);
    }
}

awaitable<void> standin_target::announce_all() {
    const std::string body =
        "{\"name\":" + json_quote(options.name) + ",\"incarnation\":" + std::to_string(incarnation) +
        ",\"service\":" + json_quote(options.service) + ",\"address\":" + json_quote(address_.address) +
        ",\"port\":" + std::to_string(address_.port) + ",\"slots\":" + std::to_string(options.slots) +
        ",\"state\":" + json_quote(state()) + "}";
    // Announces to all nodes concurrently, so that a node that does not answer does not delay the others.
    const auto pending = std::make_shared<std::size_t>(options.announce.size());
    const auto done = std::make_shared<net::steady_timer>(executor_, net::steady_timer::time_point::max());
    for (const endpoint& node : options.announce) {
        net::co_spawn(executor_, announce_to(node, body), [pending, done](const std::exception_ptr&) {
            if (--*pending == 0) {
                done->cancel();
            }
        });
    }
    while (*pending > 0) {
        co_await done->async_wait(tuple_awaitable);
    }
}

awaitable<void> standin_target::announce_to(endpoint node, std::string body) {
    http_request request;
    request.method = "POST";
    request.path = "/v1/announce";
    request.headers.push_back({"Content-Type", "application/json"});
    request.body = std::move(body);
    const absl::StatusOr<http_reply> reply =
        co_await send_http_request(executor_, node, std::move(request), announce_timeout);
    if (!reply.ok()) {
        log_event(event_level::debug, "announce_failed",
                  {{"node", to_string(node)}, {"reason", reply.status().ToString()}});
    }
}

awaitable<void> standin_target::leave() {
    leaving_ = true;
    co_await announce_all();
    // Nodes that have not processed the announcement yet may still send work.
    net::steady_timer timer(executor_, options.leave_grace);
    co_await timer.async_wait(tuple_awaitable);
    // Iterates by index, because a crash or a fault change during a drain may add a group.
    for (std::size_t i = 0; i < connection_groups_.size(); ++i) {
        connection_group& group = *connection_groups_[i];
        if (group.server != nullptr && !group.work.unresponsive) {
            co_await group.server->drain();
        }
    }
}

}  // namespace teaselpitch
