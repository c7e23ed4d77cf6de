#pragma once

#include <chrono>
#include <cstdint>
#include <mutex>
#include <optional>

#include "absl/container/flat_hash_map.h"
#include "core/clock.h"
#include "servers/routing/work_estimator.h"

namespace teaselpitch {

/// What the end of a run says about its target.
enum class run_verdict : std::uint8_t {
    success,
    failure,  ///< The target failed. The duration says nothing about the work.
    neutral,  ///< Cancelled, refused or rejected as invalid; says nothing about the target.
};

/// Expected wait and speed of one target, as its gate reports them.
struct backlog_report {
    double expected_wait_ms = 0;  ///< Until a slot is free for a new request; 0 while one is.
    double speed = 1;             ///< Expected time of recent runs divided by the observed time.
};

/// Expected remaining work at one target, with the running and the queued requests of all nodes.
///
/// The speed follows a cold start or a gradual slowdown within about 32 runs. Failures lower the reported
/// speed, because the empty slots of a target that fails fast do not mean that it completes requests early.
/// Safe to use from several threads.
class target_backlog {
public:
    /// `estimator` must outlive the object.
    target_backlog(const time_source& clock, work_estimator& estimator);

    /// Adds a request that is offered to the gate. Call it before the offer, because another thread may admit
    /// the request at once.
    void on_offered(std::uint64_t ticket, const work_key& key);
    /// The request starts to run.
    void on_admitted(std::uint64_t ticket);
    /// Removes a request that was refused, dropped or cancelled, or has ended.
    void on_removed(std::uint64_t ticket);
    /// The target has answered, or failed, after `duration`. Removes the request.
    void on_run_end(std::uint64_t ticket, run_verdict verdict, std::chrono::nanoseconds duration);

    [[nodiscard]] backlog_report report(std::uint32_t slots) const;

private:
    struct held_request {
        work_key key{};
        double mean_ms = 0;
        steady_time started_at{};  ///< The clock's epoch while it is queued.
    };

    void update_speed(double expected_ms, double observed_ms);
    [[nodiscard]] double speed() const;
    [[nodiscard]] double expected_wait_ms(std::uint32_t slots) const;

    const time_source& clock_;
    work_estimator& estimator_;
    mutable std::mutex mutex_;
    absl::flat_hash_map<std::uint64_t, held_request> requests_;
    // Sums over recent runs, older ones with less weight.
    double runs_ = 0;
    double expected_sum_ms_ = 0;
    double observed_sum_ms_ = 0;
    double success_share_ = 1;
};

}  // namespace teaselpitch
