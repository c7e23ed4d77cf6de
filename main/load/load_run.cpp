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

/// One thread's part of the arrivals.
class load_lane {
public:
    load_lane(const load_options& options, steady_time start)
        : sender_(context_.get_executor(), options), start_(start) {}

    void add(planned_send send) { plan_.push_back(std::move(send)); }

    void run() {
        net::co_spawn(context_, arrive(), net::detached);
        context_.run();
    }

    std::vector<call_record> calls;

private:
    awaitable<void> arrive() {
        net::steady_timer timer(context_);
        for (const planned_send& send : plan_) {
            timer.expires_at(start_ + send.at);
            co_await timer.async_wait(tuple_awaitable);
            net::co_spawn(context_, call(send), net::detached);
        }
    }

    awaitable<void> call(planned_send send) {
        const auto scheduled =
            std::chrono::duration_cast<std::chrono::microseconds>((start_ + send.at).time_since_epoch());
        calls.push_back(co_await sender_.send(std::move(send), scheduled.count()));
    }

    net::io_context context_{1};
    call_sender sender_;
    steady_time start_;
    std::vector<planned_send> plan_;
};

/// Samples the nodes and carries out the faults on one thread.
class run_control {
public:
    run_control(const load_options& options, const std::vector<scheduled_fault>& faults, steady_time start,
                load_result& result)
        : options_(options), faults_(faults), start_(start), result_(result) {}

    void run() {
        for (const endpoint& node : options_.nodes) {
            net::co_spawn(context_, sample(node), net::detached);
        }
        net::co_spawn(context_, carry_out(), net::detached);
        context_.run();
    }

    absl::Status failure;

private:
    awaitable<void> sample(endpoint node) {
        net::steady_timer timer(context_);
        while (std::chrono::steady_clock::now() < start_ + options_.duration) {
            const history_time when = monotonic_now();
            http_request request;
            request.path = "/v1/status";
            const absl::StatusOr<http_reply> reply =
                co_await send_http_request(context_.get_executor(), node, std::move(request), sample_timeout);
            // A node may be killed, stopped or not yet started; then it reports nothing.
            if (reply.ok() && reply->status == 200) {
                failure.Update(add_status_sample(reply->body, when, result_.recorded, result_.ejected));
            }
            timer.expires_after(sample_interval);
            co_await timer.async_wait(tuple_awaitable);
        }
    }

    awaitable<void> carry_out() {
        net::steady_timer timer(context_);
        for (const scheduled_fault& fault : faults_) {
            timer.expires_at(start_ + fault.at);
            co_await timer.async_wait(tuple_awaitable);
            co_await post(fault);
        }
    }

    awaitable<void> post(const scheduled_fault& fault) {
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
        const std::string target = target_at(options_.targets, fault.address);
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

absl::Status collect_executions(const load_options& options, history& into) {
    for (const named_target& target : options.targets) {
        http_request request;
        request.path = "/_executions?from=0";
        const auto reply = send_http_request_blocking(target.address, std::move(request), control_timeout);
        if (!reply.ok()) {
            return reply.status();
        }
        if (absl::Status added = add_executions(reply->body, target.name, into); !added.ok()) {
            return added;
        }
    }
    return absl::OkStatus();
}

void run_lanes(const load_options& options, steady_time start, history& into) {
    std::vector<std::unique_ptr<load_lane>> lanes;
    for (std::size_t i = 0; i < options.threads; ++i) {
        lanes.push_back(std::make_unique<load_lane>(options, start));
    }
    std::size_t next = 0;
    for (planned_send& send : plan_arrivals(options)) {
        lanes[next++ % lanes.size()]->add(std::move(send));
    }
    std::vector<std::thread> threads;
    threads.reserve(lanes.size());
    for (const auto& lane : lanes) {
        threads.emplace_back([&lane] { lane->run(); });
    }
    for (std::thread& thread : threads) {
        thread.join();
    }
    for (const auto& lane : lanes) {
        into.calls.insert(into.calls.end(), lane->calls.begin(), lane->calls.end());
    }
}

}  // namespace

absl::StatusOr<load_result> run_load(const load_options& options,
                                     const std::vector<scheduled_fault>& faults) {
    // Leaves time to plan the arrivals before the first one is due.
    constexpr std::chrono::milliseconds lead{200};
    const steady_time start = std::chrono::steady_clock::now() + lead;
    const auto microseconds = [](steady_time time) {
        return std::chrono::duration_cast<std::chrono::microseconds>(time.time_since_epoch()).count();
    };
    load_result result;
    result.started = microseconds(start);
    result.ended = microseconds(start + options.duration);
    run_control control(options, faults, start, result);
    std::thread controller([&control] { control.run(); });
    history calls;
    run_lanes(options, start, calls);
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
