#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "modules/node/node_metrics.h"
#include "modules/node/target_manager.h"
#include "servers/exchange/exchange.h"
#include "servers/routing/completion_estimate.h"
#include "servers/routing/work_estimator.h"

namespace teaselpitch {

/// The work estimator of a node with cost-aware routing, and what an operator sees of it. Safe to use from
/// several threads, except on_second_tick().
class cost_awareness {
public:
    explicit cost_awareness(const time_source& clock);

    work_estimator& estimator() { return estimator_; }
    [[nodiscard]] expected_work expected_work_of(const request_head& head) const;

    void count_choice(bool local_zone);
    /// Counts a successful attempt with the expected and the observed time until its end.
    void count_completion(std::optional<double> expected_ms, std::chrono::nanoseconds observed);
    /// Updates the metrics and, every ten seconds, logs one line for each local target. Control thread only.
    void on_second_tick(const std::vector<std::shared_ptr<managed_target>>& targets, node_metrics& metrics);

private:
    void log_backlog(const guarded_target& target, const load_report& report);

    const time_source& clock_;
    work_estimator estimator_;
    std::atomic<std::uint64_t> local_choices_{0};
    std::atomic<std::uint64_t> other_choices_{0};
    // Since the last log line, in microseconds.
    std::atomic<std::uint64_t> completions_{0};
    std::atomic<std::uint64_t> expected_us_{0};
    std::atomic<std::uint64_t> observed_us_{0};
    steady_time logged_at_;
};

}  // namespace teaselpitch
