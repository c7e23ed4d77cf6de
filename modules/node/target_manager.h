#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/status.h"
#include "core/clock.h"
#include "core/rcu_cell.h"
#include "modules/node/crash_recorder.h"
#include "modules/node/target_announcement.h"
#include "modules/proxy/gate.h"
#include "modules/proxy/guarded_target.h"
#include "servers/admission/fleet_retry_budget.h"
#include "servers/health/failure_filter.h"
#include "servers/health/target_outlier_detector.h"
#include "servers/routing/ejector.h"
#include "servers/routing/name_map.h"

namespace teaselpitch {

/// One target that this node guards, with its outlier detector, failure filter and retry budget.
class managed_target {
public:
    managed_target(const time_source& clock, const announcement& first, const admission_options& admission,
                   const outlier_detection_options& detection,
                   const std::optional<fleet_retry_budget_options>& retry_budget, work_estimator* estimator,
                   const slot_loan_options& loan_options);

    guarded_target& guarded() { return guarded_; }
    target_outlier_detector& outlier_detector() { return outlier_detector_; }
    failure_filter& failures() { return failures_; }
    /// Null when the gates do not limit retries.
    fleet_retry_budget* retry_budget() { return retry_budget_ ? &*retry_budget_ : nullptr; }
    void count_run(bool started, bool is_retry);
    void set_last_answer_time(steady_time now) { last_answer_time_.store(now, std::memory_order_relaxed); }
    [[nodiscard]] steady_time last_answer_time() const {
        return last_answer_time_.load(std::memory_order_relaxed);
    }

    [[nodiscard]] const guarded_target& guarded() const { return guarded_; }
    [[nodiscard]] const target_outlier_detector& outlier_detector() const { return outlier_detector_; }
    /// Returns the share of retries among the current runs, 0 to 1.
    [[nodiscard]] double retry_share() const;

private:
    guarded_target guarded_;
    target_outlier_detector outlier_detector_;
    failure_filter failures_;
    std::optional<fleet_retry_budget> retry_budget_;
    std::atomic<std::int32_t> runs_{0};
    std::atomic<std::int32_t> retry_runs_{0};
    std::atomic<steady_time> last_answer_time_{steady_time{}};
};

/// State of a guarded target, as it is announced to the other nodes.
struct managed_target_fact {
    target_identity identity;
    std::string service;
    target_lifecycle state = target_lifecycle::starting;
    std::uint32_t slots = 0;
    steady_time ready_since;
    bool gone = false;
    bool departed = false;  ///< The target has announced that it leaves.
};

struct service_admission {
    std::chrono::milliseconds max_wait{100};
    detection_policy policy = detection_policy::balanced;
};

struct target_manager_hooks {
    /// Returns the admission settings of a service from the table.
    std::function<service_admission(std::string_view service)> admission_of;
    /// Called on the control thread when a target is added, changes or is removed.
    std::function<void(const managed_target_fact&)> target_changed;
    /// Called, on any thread, for each request that ran when a target crashed.
    crash_recorder::crash_hook target_crashed;
};

/// Manages the targets that announce themselves to this node.
class target_manager {
public:
    /// A target is removed after three missed renewals, which are one second apart.
    static constexpr std::chrono::milliseconds default_renewal_limit{3'000};

    target_manager(const time_source& clock, target_manager_hooks hooks, decision_log& decisions,
                   std::chrono::milliseconds renewal_limit = default_renewal_limit,
                   std::optional<fleet_retry_budget_options> retry_budget = std::nullopt,
                   work_estimator* estimator = nullptr, const slot_loan_options& loan_options = {});

    // Commands for the control thread.
    absl::Status on_announcement(const announcement& message);
    /// Marks the target as leaving, so that it gets no new requests. It is remembered also for a target that
    /// is not known here.
    void on_departure(const target_departure& message);
    /// Sets the number of targets that share the retry budget of a service.
    void set_target_count(std::string_view service, std::size_t targets);
    /// Applies the table's settings to all targets.
    void on_rules();
    /// Removes targets that neither renewed their announcement nor answered a request within the renewal
    /// limit.
    void remove_expired_targets();
    /// Marks and announces all targets as leaving, because this node stops.
    void set_all_leaving();

    // Commands for any thread.
    void on_queue_tick();
    void on_detection_tick();
    /// Returns true when the target failed its latest requests, so that this request should go to another
    /// target.
    bool is_suspect(const request_head& head, const guarded_target& target);
    /// Counts a request that is about to be sent; returns false when it is a retry, or probably caused by
    /// one, that exceeds the budget.
    bool count_arrival(const request_head& head, const guarded_target& target);
    void on_run_started(const gate_run& run);
    void on_run_ended(const gate_run_end& end);
    crash_recorder& crashes() { return crashes_; }
    crash_quarantine& quarantine() { return crashes_.quarantine(); }

    // Queries for any thread.
    /// Returns true when the retry budget of the target admits the request, which is a retry or may be caused
    /// by one.
    [[nodiscard]] bool has_retry_budget(const request_head& head, const guarded_target& target) const;
    /// Returns the largest share of retries among the current runs of a local target, 0 to 1. It estimates
    /// the probability that a downstream call from this instance belongs to a retry.
    [[nodiscard]] double retry_share() const;
    [[nodiscard]] std::shared_ptr<managed_target> find(std::string_view name) const;
    [[nodiscard]] std::vector<std::shared_ptr<managed_target>> all() const;
    /// Returns the least loaded local target of a service that admits requests; null when there is none.
    [[nodiscard]] std::shared_ptr<managed_target> least_loaded(std::string_view service) const;
    [[nodiscard]] std::vector<managed_target_fact> facts() const;
    /// Returns true when this incarnation of the target has announced that it leaves. Control thread only.
    [[nodiscard]] bool has_departed(const target_identity& target) const;

private:
    struct target_entry {
        std::shared_ptr<managed_target> target;
        announcement latest;
        steady_time ready_since;
        steady_time renewed_at;
        bool departed = false;
    };
    using target_map = name_map<std::shared_ptr<managed_target>>;

    absl::Status replace_target_at(const announcement& message);
    void add_target(const announcement& message);
    void update_target(target_entry& entry, const announcement& message);
    void publish_targets();
    void record_departure(const target_identity& target);
    [[nodiscard]] static managed_target_fact make_target_fact(const target_entry& entry, bool gone);
    void assess_run(managed_target& target, const gate_run_end& end);

    const time_source& clock_;
    const target_manager_hooks hooks_;
    const std::chrono::milliseconds renewal_limit_;
    const std::optional<fleet_retry_budget_options> retry_budget_;
    work_estimator* const estimator_;  ///< Null without cost-aware routing.
    const slot_loan_options loan_options_;
    crash_recorder crashes_;
    rcu_cell<target_map> targets_;
    mutable std::mutex mutex_;
    std::map<std::string, target_entry, std::less<>> entries_;
    std::map<std::string, std::uint64_t>
        departed_incarnations_;  ///< Latest incarnation that left, by target.
    bool leaving_ = false;
};

}  // namespace teaselpitch
