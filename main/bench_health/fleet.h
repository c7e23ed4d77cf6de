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
    std::size_t targets = 9;  ///< Each target has its own node; they are spread over three zones.
    std::uint32_t slots = 7;
    detection_policy policy = detection_policy::fast;
    fault_kind fault = fault_kind::none;
    bool baseline = false;          ///< Uses the baseline policy instead of the fleet's own routing.
    bool prefer_local_zone = true;  ///< False: each node spreads its work over all zones by free capacity.
    std::uint64_t seed = 1;
    double requests_per_s = 100;  ///< Per target.
    std::chrono::seconds fault_after{10};
};

/// Counters and measurements of one run.
struct fleet_result {
    std::uint64_t requests = 0;
    std::uint64_t good = 0;
    std::uint64_t good_after_fault = 0;
    std::uint64_t bad_after_fault = 0;
    std::uint64_t false_ejections = 0;  ///< Ejections by any node of targets without a fault for that node.
    std::uint64_t ejections = 0;
    std::uint64_t quarantined = 0;  ///< Harmless requests that were refused as quarantined.
    /// Time from the first bad answer to the last request beyond trial traffic; empty when the target kept
    /// receiving such requests.
    std::optional<std::chrono::nanoseconds> detection{};
    std::vector<std::string> notes{};  ///< The first false ejections with their reasons.
};

/// Simulates one service with its nodes, gates and callers on a manual clock.
class fleet {
public:
    explicit fleet(const fleet_options& options);

    /// Simulates the load for a duration and returns the result.
    fleet_result run(std::chrono::seconds time);

private:
    struct call {
        std::uint64_t fingerprint = 0;
        bool crashes_target = false;
        bool non_idempotent = false;
        std::size_t node = 0;
        steady_time deadline{};
        std::uint32_t attempts = 0;
        std::vector<std::string> excluded{};
        std::optional<chosen_target> reserved_target{};
    };
    using call_ptr = std::shared_ptr<call>;
    struct running_call {
        call_ptr request_call;
        service_sample sample{};
        steady_time started_at{};
    };
    struct waiting_call {
        call_ptr request_call;
        steady_time since{};
    };
    struct gate {
        std::unique_ptr<target_outlier_detector> outlier_detector;
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
        std::unique_ptr<ejector> target_ejector;
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
    void schedule_every(std::chrono::nanoseconds period, std::chrono::nanoseconds first,
                        std::function<void()> action);

    // fleet_calls.cpp: processing of requests.
    void generate_request();
    void send_crashing_request();
    void attempt(const call_ptr& request_call);
    std::optional<std::size_t> choose(call& request_call);
    void admit(const call_ptr& request_call, std::size_t target);
    void start(const call_ptr& request_call, std::size_t target);
    void end_request(std::size_t target, std::uint64_t request);
    void crash_target(std::size_t target, std::uint64_t cause);
    void start_waiting_calls(std::size_t target);
    void answer(const call_ptr& request_call, std::size_t target, reply result);
    void handle_answer(const call_ptr& request_call, std::size_t target, const reply& result);
    void handle_failed_attempt(const call_ptr& request_call, const reply& result);
    void finish(const call& request_call, bool good);
    void record_full_share_request(std::size_t target, std::size_t from);
    void record_bad_answer(std::size_t target, bool by_fault);

    // fleet_exchange.cpp: messages between nodes, and the periodic work of gates and nodes.
    [[nodiscard]] load_report make_load_report(std::size_t target) const;
    void tick_gate(std::size_t target);
    void push_summary(std::size_t target);
    void send_summary(std::size_t target, std::size_t to);
    void push_verdict(std::size_t target);
    void announce_verdict(std::size_t target);
    void send_verdict(std::size_t target, std::size_t to, double outlier_score);
    void push_hints(std::size_t from);
    void tick_node(std::size_t index);
    void apply_decisions(std::size_t index, const std::vector<ejector_decision>& decisions);
    void apply_shares(std::size_t index);
    void report_crash(std::size_t from, const crash_report& crash);
    [[nodiscard]] bool is_ejection_justified(std::size_t index, std::size_t target) const;
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
    std::vector<registered_target> registered_targets_;
    std::uint64_t next_connection_ = 1;
    fleet_result result_;
    steady_time first_bad_at_{};
    steady_time last_full_share_request_at_{};
    bool detected_ = false;
};

}  // namespace teaselpitch
