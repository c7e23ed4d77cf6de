#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "main/bench_health/event_queue.h"
#include "main/bench_health/fault_model.h"
#include "modules/baseline/baseline_policy.h"
#include "servers/health/crash_quarantine.h"
#include "servers/health/path_fault_detector.h"
#include "servers/health/service_digest.h"
#include "servers/health/target_outlier_detector.h"
#include "servers/health/verdict_announcer.h"
#include "servers/routing/ejector.h"
#include "servers/routing/retry_policy.h"
#include "servers/routing/target_chooser.h"

namespace teaselpitch {

struct fleet_options {
    std::size_t targets = 9;  ///< Each with a node of its own, in three zones.
    std::uint32_t slots = 7;
    detection_policy policy = detection_policy::fast;
    fault_kind fault = fault_kind::none;
    bool baseline = false;       ///< Uses the baseline policy instead of the product's classes.
    bool own_zone_first = true;  ///< False spreads every node's work over all zones by room.
    std::uint64_t seed = 1;
    double requests_per_s = 100;  ///< For each target.
    std::chrono::seconds fault_after{10};
};

/// What one run showed.
struct fleet_result {
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
    std::uint64_t good_after_fault = 0;
    std::uint64_t bad_after_fault = 0;
    std::uint64_t false_ejections = 0;  ///< Ejections of targets without a fault, over all nodes.
    std::uint64_t ejections = 0;
    std::uint64_t quarantined = 0;  ///< Requests that were refused as quarantined.
    /// From the first bad answer until the last request that was not trial traffic; empty when the
    /// target kept its work.
    std::optional<std::chrono::nanoseconds> detection{};
    std::vector<std::string> notes{};  ///< The first false ejections with their reasons.
};

/// One service with its nodes, gates and callers on a manual clock.
class fleet {
public:
    explicit fleet(const fleet_options& options);

    /// Runs the load for this long and returns what was counted.
    fleet_result run(std::chrono::seconds time);

private:
    struct call {
        std::uint64_t fingerprint = 0;
        bool poison = false;
        bool non_idempotent = false;
        std::size_t node = 0;
        steady_time deadline{};
        std::uint32_t attempts = 0;
        std::vector<std::string> excluded{};
        std::optional<chosen_target> held{};
    };
    using call_ptr = std::shared_ptr<call>;
    struct running_call {
        call_ptr subject;
        service_sample sample{};
        steady_time started_at{};
    };
    struct waiting_call {
        call_ptr subject;
        steady_time since{};
    };
    struct gate {
        std::unique_ptr<target_outlier_detector> judge;
        std::unique_ptr<verdict_announcer> announcer;
        std::map<std::uint64_t, running_call> running{};
        std::deque<waiting_call> waiting{};
        std::uint64_t next_request = 1;
        std::uint64_t sequence = 0;
        std::uint64_t incarnation = 1;
        steady_time pushed_at{};
    };
    struct node {
        std::string name{};
        std::size_t zone = 0;
        std::unique_ptr<service_digest> digest;
        std::unique_ptr<path_fault_detector> paths;
        std::unique_ptr<ejector> views;
        std::unique_ptr<target_chooser> chooser;
        std::unique_ptr<retry_policy> retries;
        std::unique_ptr<crash_quarantine> quarantine;
        std::uint64_t applied_version = 0;
        std::uint64_t chooser_updates = 0;
    };
    struct reply {
        error_kind error = error_kind::none;
        execution_state execution = execution_state::run;
        bool good = true;
        bool by_fault = false;
        load_report load{};
    };

    void build_nodes(std::uint64_t seed);
    void start_timers();
    void every(std::chrono::nanoseconds period, std::chrono::nanoseconds first, std::function<void()> action);

    // fleet_calls.cpp: the way of one request.
    void arrive();
    void send_poison();
    void attempt(const call_ptr& subject);
    std::optional<std::size_t> choose(call& subject);
    void admit(const call_ptr& subject, std::size_t target);
    void start(const call_ptr& subject, std::size_t target);
    void end(std::size_t target, std::uint64_t request);
    void crash(std::size_t target, std::uint64_t cause);
    void start_waiting(std::size_t target);
    void answer(const call_ptr& subject, std::size_t target, reply result);
    void received(const call_ptr& subject, std::size_t target, const reply& result);
    void failed(const call_ptr& subject, const reply& result);
    void finish(const call& subject, bool good);
    void note_full_share(std::size_t target, std::size_t from);
    void note_bad_answer(std::size_t target, bool by_fault);

    // fleet_exchange.cpp: what nodes tell each other.
    [[nodiscard]] load_report report_of(std::size_t target) const;
    void tick_gate(std::size_t target);
    void push_summary(std::size_t target);
    void send_summary(std::size_t target, std::size_t to);
    void push_verdict(std::size_t target);
    void announce_verdict(std::size_t target);
    void tell_verdict(std::size_t target, std::size_t to, double badness);
    void push_hints(std::size_t from);
    void tick_node(std::size_t index);
    void take(std::size_t index, const std::vector<ejector_decision>& decisions);
    void apply_shares(std::size_t index);
    void report_crash(std::size_t from, const crash_report& crash);
    [[nodiscard]] bool cut_off(std::size_t index, std::size_t target) const;
    [[nodiscard]] std::size_t zone_of(std::size_t index) const { return index % 3; }
    [[nodiscard]] std::chrono::nanoseconds delay(std::size_t from, std::size_t to) const;

    const fleet_options options_;
    manual_time_source clock_;
    event_queue events_;
    std::mt19937_64 random_;
    fault_model faults_;
    baseline_policy baseline_;
    std::vector<gate> gates_;
    std::vector<node> nodes_;
    std::vector<registered_target> registered_;
    std::uint64_t next_connection_ = 1;
    fleet_result result_;
    steady_time first_bad_at_{};
    steady_time last_full_share_at_{};
    bool detected_ = false;
};

}  // namespace teaselpitch
