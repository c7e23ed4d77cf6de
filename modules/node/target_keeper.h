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
#include "modules/proxy/gate.h"
#include "modules/proxy/guarded_target.h"
#include "servers/admission/repeat_budget.h"
#include "servers/health/crash_quarantine.h"
#include "servers/health/failure_filter.h"
#include "servers/health/target_outlier_detector.h"
#include "servers/records/decision_log.h"
#include "servers/routing/ejector.h"
#include "servers/routing/name_map.h"

namespace teaselpitch {

/// What a target says about itself; it renews this each second.
struct announcement {
    target_identity identity;
    std::string service;
    endpoint address;
    std::uint32_t slots = 0;
    target_lifecycle state = target_lifecycle::starting;
    std::uint64_t sequence = 0;             ///< Grows with each announcement of one life; 0 when not counted.
    std::chrono::milliseconds cold_for{0};  ///< How much longer the target is slow after its start.
};

/// A target leaves and finishes only what it already has.
struct target_departure {
    std::string target;
    std::optional<std::uint64_t> incarnation;  ///< Empty when the life that is known here ends.
};

/// A call of a target. Exactly one of the members is set.
struct target_call {
    std::optional<announcement> announced;
    std::optional<target_departure> left;
};

/// Parses the JSON body of POST /v1/announce; an error names the field.
absl::StatusOr<announcement> parse_announcement(std::string_view json);

/// One target that this node guards, with its judge.
class kept_target {
public:
    kept_target(const time_source& clock, const announcement& first, const admission_options& admission,
                const outlier_detection_options& judging,
                const std::optional<repeat_budget_options>& repeats);

    guarded_target& guarded() { return guarded_; }
    target_outlier_detector& judge() { return judge_; }
    failure_filter& failures() { return failures_; }
    /// Null when repeats are not limited at the gates.
    repeat_budget* repeats() { return repeats_ ? &*repeats_ : nullptr; }
    void count_run(bool started, bool repeat);
    void set_answered(steady_time now) { answered_at_.store(now, std::memory_order_relaxed); }
    [[nodiscard]] steady_time answered_at() const { return answered_at_.load(std::memory_order_relaxed); }

    [[nodiscard]] const guarded_target& guarded() const { return guarded_; }
    [[nodiscard]] const target_outlier_detector& judge() const { return judge_; }
    /// Repeats among the runs now, 0 to 1.
    [[nodiscard]] double share_of_repeats() const;

private:
    guarded_target guarded_;
    target_outlier_detector judge_;
    failure_filter failures_;
    std::optional<repeat_budget> repeats_;
    std::atomic<std::int32_t> runs_{0};
    std::atomic<std::int32_t> repeated_runs_{0};
    std::atomic<steady_time> answered_at_{steady_time{}};
};

/// A change of a guarded target that the other nodes must hear about.
struct kept_target_fact {
    target_identity identity;
    std::string service;
    target_lifecycle state = target_lifecycle::starting;
    std::uint32_t slots = 0;
    steady_time ready_since;
    bool gone = false;
};

struct service_admission {
    std::chrono::milliseconds max_wait{100};
    detection_policy policy = detection_policy::balanced;
};

struct target_keeper_hooks {
    /// Settings of a service from the table.
    std::function<service_admission(std::string_view service)> admission_of;
    /// Called on the control thread when a target appears, changes or goes.
    std::function<void(const kept_target_fact&)> changed;
    /// Called on any thread when a fingerprint is quarantined here.
    std::function<void(const gate_run&, std::uint64_t fingerprint)> quarantined;
};

/// The targets that announced themselves to this node.
class target_keeper {
public:
    /// Three missed renewals of one second end a target's membership.
    static constexpr std::chrono::milliseconds usual_renewal_limit{3'000};

    target_keeper(const time_source& clock, target_keeper_hooks hooks, decision_log& decisions,
                  std::chrono::milliseconds renewal_limit = usual_renewal_limit,
                  std::optional<repeat_budget_options> repeats = std::nullopt);

    // Commands for the control thread.
    absl::Status on_announcement(const announcement& message);
    /// The target takes no new work from now on.
    void on_departure(const target_departure& message);
    /// Takes the number of targets that share a service's budget of repeats.
    void on_service_size(std::string_view service, std::size_t targets);
    /// Applies the table's settings to all targets.
    void on_rules();
    /// Removes targets that stopped renewing.
    void expire();
    /// Announces all targets as leaving, because this node stops.
    void leave_all();

    // Commands for any thread.
    void on_queue_tick();
    void on_judge_tick();
    /// True when the target failed its latest work, so that the request should go to another one.
    bool is_suspect(const request_head& head, const guarded_target& target);
    /// Counts a request that is about to be sent; false when it is a repeat beyond the budget.
    bool count_arrival(const request_head& head, const guarded_target& target);
    void on_run_started(const gate_run& run);
    void on_run_ended(const gate_run_end& end);
    crash_quarantine& quarantine() { return quarantine_; }

    // Queries for any thread.
    /// True when the budget has room for a repeat of the request at the target.
    [[nodiscard]] bool may_repeat(const request_head& head, const guarded_target& target) const;
    /// Repeats among the runs of all targets here, 0 to 1: the chance that a call from here is part of one.
    [[nodiscard]] double share_of_repeats() const;
    [[nodiscard]] std::shared_ptr<kept_target> find(std::string_view name) const;
    [[nodiscard]] std::vector<std::shared_ptr<kept_target>> all() const;
    /// The ready target of a service with the least load; null when there is none.
    [[nodiscard]] std::shared_ptr<kept_target> least_loaded(std::string_view service) const;
    [[nodiscard]] std::vector<kept_target_fact> facts() const;

private:
    struct membership_entry {
        std::shared_ptr<kept_target> target;
        announcement latest;
        steady_time ready_since;
        steady_time renewed_at;
    };
    using target_map = name_map<std::shared_ptr<kept_target>>;

    absl::Status make_room_at(const announcement& message);
    void add_target(const announcement& message);
    void update_target(membership_entry& entry, const announcement& message);
    void publish_map();
    [[nodiscard]] static kept_target_fact fact_of(const membership_entry& entry, bool gone);
    void judge_end(kept_target& target, const gate_run_end& end);

    const time_source& clock_;
    const target_keeper_hooks hooks_;
    decision_log& decisions_;
    const std::chrono::milliseconds renewal_limit_;
    const std::optional<repeat_budget_options> repeats_;
    crash_quarantine quarantine_;
    rcu_cell<target_map> targets_;
    mutable std::mutex mutex_;
    std::map<std::string, membership_entry, std::less<>> entries_;
    std::map<std::string, std::uint64_t> departed_;  ///< Incarnation that left, by target.
    bool leaving_ = false;
};

}  // namespace teaselpitch
