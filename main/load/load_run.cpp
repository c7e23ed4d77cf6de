#include "main/load/load_run.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <thread>

#include "drivers/http/asio_types.h"
#include "drivers/http/http_client.h"
#include "main/load/call_sender.h"
#include "main/load/run_records.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds sample_interval{100};
constexpr std::chrono::milliseconds sample_timeout{1'000};
constexpr std::chrono::milliseconds control_timeout{10'000};

/// Sends one thread's share of the planned requests.
class load_worker {
public:
    load_worker(const load_options& options, steady_time start)
        : sender_(context_.get_executor(), options), start_(start) {}

    void add(planned_request planned) { planned_requests_.push_back(std::move(planned)); }

    void run() {
        net::co_spawn(context_, send_on_schedule(), net::detached);
        context_.run();
    }

    std::vector<call_record> calls;

private:
    awaitable<void> send_on_schedule() {
        net::steady_timer timer(context_);
        for (const planned_request& planned : planned_requests_) {
            timer.expires_at(start_ + planned.at);
            co_await timer.async_wait(tuple_awaitable);
            net::co_spawn(context_, send_and_record(planned), net::detached);
        }
    }

    awaitable<void> send_and_record(planned_request planned) {
        const auto scheduled =
            std::chrono::duration_cast<std::chrono::microseconds>((start_ + planned.at).time_since_epoch());
        calls.push_back(co_await sender_.send(std::move(planned), scheduled.count()));
    }

    net::io_context context_{1};
    call_sender sender_;
    steady_time start_;
    std::vector<planned_request> planned_requests_;
};

/// Samples the status of the nodes and injects the scheduled faults, all on one thread.
class run_controller {
public:
    run_controller(const load_options& options, const std::vector<scheduled_fault>& faults, steady_time start,
                   load_result& result)
        : options_(options), faults_(faults), start_(start), result_(result) {}

    void run() {
        for (const endpoint& node : options_.nodes) {
            net::co_spawn(context_, sample_status(node), net::detached);
        }
        net::co_spawn(context_, inject_faults(), net::detached);
        context_.run();
    }

    absl::Status failure;

private:
    awaitable<void> sample_status(endpoint node) {
        net::steady_timer timer(context_);
        while (std::chrono::steady_clock::now() < start_ + options_.duration) {
            const history_time when = monotonic_now();
            http_request request;
            request.path = "/v1/status";
            const absl::StatusOr<http_reply> reply =
                co_await send_http_request(context_.get_executor(), node, std::move(request), sample_timeout);
            // Failed samples are skipped: the node may be killed, stopped or not started yet.
            if (reply.ok() && reply->status == 200) {
                failure.Update(add_status_sample(reply->body, when, result_.recorded, result_.ejected));
            }
            timer.expires_after(sample_interval);
            co_await timer.async_wait(tuple_awaitable);
        }
    }

    awaitable<void> inject_faults() {
        net::steady_timer timer(context_);
        for (const scheduled_fault& fault : faults_) {
            timer.expires_at(start_ + fault.at);
            co_await timer.async_wait(tuple_awaitable);
            co_await inject_fault(fault);
        }
    }

    awaitable<void> inject_fault(const scheduled_fault& fault) {
        http_request request;
        request.method = "POST";
        request.path = fault.path;
        request.body = fault.body;
        const history_time when = monotonic_now();
        const absl::StatusOr<http_reply> reply = co_await send_http_request(
            context_.get_executor(), fault.address, std::move(request), control_timeout);
        if (!reply.ok() || reply->status != 200) {
            failure.Update(absl::UnavailableError("fault \"" + fault.note + "\" was not accepted by " +
                                                  to_string(fault.address)));
            co_return;
        }
        const std::string target = find_target_name(options_.targets, fault.address);
        if (target.empty()) {
            co_return;
        }
        if (fault.is_leave()) {
            result_.recorded.leaves.push_back({target, when, 0});
        } else if (fault.body.find("reset") == std::string::npos) {
            result_.faults.push_back({target, when});
        }
    }

    net::io_context context_{1};
    const load_options& options_;
    const std::vector<scheduled_fault>& faults_;
    steady_time start_;
    load_result& result_;
};

absl::Status collect_executions(const load_options& options, history& recorded_history) {
    for (const named_target& target : options.targets) {
        http_request request;
        request.path = "/_executions?from=0";
        const auto reply = send_http_request_blocking(target.address, std::move(request), control_timeout);
        if (!reply.ok()) {
            return reply.status();
        }
        if (absl::Status added = add_executions(reply->body, target.name, recorded_history); !added.ok()) {
            return added;
        }
    }
    return absl::OkStatus();
}

void run_workers(const load_options& options, steady_time start, history& recorded_history) {
    std::vector<std::unique_ptr<load_worker>> workers;
    for (std::size_t i = 0; i < options.threads; ++i) {
        workers.push_back(std::make_unique<load_worker>(options, start));
    }
    std::size_t next = 0;
    for (planned_request& planned : plan_arrivals(options)) {
        workers[next++ % workers.size()]->add(std::move(planned));
    }
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (const auto& worker : workers) {
        threads.emplace_back([&worker] { worker->run(); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    for (const auto& worker : workers) {
        recorded_history.calls.insert(recorded_history.calls.end(), worker->calls.begin(),
                                      worker->calls.end());
    }
}

}  // namespace

absl::StatusOr<load_result> run_load(const load_options& options,
                                     const std::vector<scheduled_fault>& faults) {
    // Gives the workers time to plan the requests before the first one is due.
    constexpr std::chrono::milliseconds startup_delay{200};
    const steady_time start = std::chrono::steady_clock::now() + startup_delay;
    const auto to_microseconds = [](steady_time time) {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    };
    load_result result;
    result.started = to_microseconds(start);
    result.ended = to_microseconds(start + options.duration);
    run_controller control(options, faults, start, result);
    std::thread controller([&control] { control.run(); });
    history calls;
    run_workers(options, start, calls);
    controller.join();
    if (!control.failure.ok()) {
        return control.failure;
    }
    result.recorded.calls = std::move(calls.calls);
    resolve_answer_keys(result.recorded.calls);
    if (absl::Status collected = collect_executions(options, result.recorded); !collected.ok()) {
        return collected;
    }
    return result;
}

}  // namespace teaselpitch
