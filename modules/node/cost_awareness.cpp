#include "modules/node/cost_awareness.h"

#include <algorithm>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::seconds log_interval{10};
constexpr double us_per_ms = 1'000;

}  // namespace

cost_awareness::cost_awareness(const time_source& clock)
    : clock_(clock), estimator_(clock), logged_at_(clock.now()) {}

expected_work cost_awareness::expected_work_of(const request_head& head) const {
    const work_key key = make_work_key(head);
    return {.request_ms = estimator_.mean_ms(key), .service_mean_ms = estimator_.service_mean_ms(key)};
}

void cost_awareness::count_choice(bool local_zone) {
    (local_zone ? local_choices_ : other_choices_).fetch_add(1, std::memory_order_relaxed);
}

void cost_awareness::count_completion(std::optional<double> expected_ms, std::chrono::nanoseconds observed) {
    if (!expected_ms) {
        return;
    }
    const auto observed_us = std::chrono::duration_cast<std::chrono::microseconds>(observed).count();
    completions_.fetch_add(1, std::memory_order_relaxed);
    expected_us_.fetch_add(static_cast<std::uint64_t>(std::max(*expected_ms, 0.0) * us_per_ms),
                           std::memory_order_relaxed);
    observed_us_.fetch_add(static_cast<std::uint64_t>(std::max<std::int64_t>(observed_us, 0)),
                           std::memory_order_relaxed);
}

void cost_awareness::on_second_tick(const std::vector<std::shared_ptr<managed_target>>& targets,
                                    node_metrics& metrics) {
    metrics.set_completion_choices(local_choices_, other_choices_);
    const bool writes_log = clock_.now() - logged_at_ >= log_interval;
    for (const std::shared_ptr<managed_target>& target : targets) {
        const load_report report = target->guarded().report();
        metrics.set_target_backlog(report.target, report.expected_wait_ms, report.speed);
        if (writes_log) {
            log_backlog(target->guarded(), report);
        }
    }
    if (!writes_log) {
        return;
    }
    logged_at_ = clock_.now();
    const auto completions = static_cast<double>(completions_.exchange(0));
    const double count = std::max(completions, 1.0);
    log_event(event_level::info, "completion_choices",
              {{"local_zone", local_choices_.load()},
               {"other_zones", other_choices_.load()},
               {"completions", completions},
               {"mean_expected_ms", static_cast<double>(expected_us_.exchange(0)) / us_per_ms / count},
               {"mean_observed_ms", static_cast<double>(observed_us_.exchange(0)) / us_per_ms / count},
               {"work_keys", estimator_.size()}});
}

void cost_awareness::log_backlog(const guarded_target& target, const load_report& report) {
    log_event(event_level::info, "target_backlog",
              {{"target", report.target},
               {"service", target.service()},
               {"slots", report.slots},
               {"running", report.running},
               {"queued", report.queued},
               {"expected_wait_ms", report.expected_wait_ms},
               {"speed", report.speed}});
}

}  // namespace teaselpitch
