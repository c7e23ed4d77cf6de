#pragma once

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/error_kind.h"
#include "servers/admission/slot_loans.h"

namespace teaselpitch {

/// Metrics of one node in the Prometheus text format. Safe for use by several threads.
class node_metrics {
public:
    node_metrics();

    // Commands.
    void count_request(std::string_view service, error_kind error, std::chrono::nanoseconds latency);
    void count_attempt(std::string_view service, error_kind error);
    void count_gate_refusal(std::string_view service, error_kind error);
    void count_gate_run(std::string_view service, std::chrono::nanoseconds latency);
    void count_silent_connection();
    /// Counts a request that was refused because of its key; `reason` is missing, unknown or several.
    void count_unauthenticated(std::string_view reason);
    void set_account_count(std::size_t accounts);
    /// Counts a decision about a request of an account with a quota. `reason` is empty when it was admitted.
    void count_quota(std::string_view result, std::string_view reason);
    /// Counts a call for tokens, by its result.
    void count_quota_ask(std::string_view result);
    void set_table_version(std::uint64_t version);
    void set_known_counts(std::size_t nodes, std::size_t targets);
    void count_store_call(std::string_view call, unsigned status);
    void set_log_available(bool available);
    void set_claims(std::size_t live, std::size_t bytes);
    void set_target_backlog(std::string_view target, double expected_wait_ms, double speed);
    void set_completion_choices(std::uint64_t local_zone, std::uint64_t other_zones);
    void set_dropped_events(std::uint64_t lines);
    /// Counts a request or a connection that met a limit of a listener other than the callers'.
    void count_listener_limit(std::string_view listener, std::string_view limit);
    void set_slot_loans(std::string_view target, const slot_loan_load& load);
    void set_caller_memory(std::size_t bytes);
    void set_caller_connections(std::size_t count);
    /// Actions against callers because of a lack of memory or descriptors, since the start.
    void set_pressure_actions(std::string_view action, std::uint64_t count);

    // Queries.
    [[nodiscard]] std::string serialize() const;

private:
    prometheus::Registry registry_;
    prometheus::Family<prometheus::Counter>& requests_;
    prometheus::Family<prometheus::Histogram>& request_seconds_;
    prometheus::Family<prometheus::Counter>& attempts_;
    prometheus::Family<prometheus::Counter>& gate_refusals_;
    prometheus::Family<prometheus::Histogram>& target_seconds_;
    prometheus::Family<prometheus::Counter>& store_calls_;
    prometheus::Family<prometheus::Counter>& unauthenticated_requests_;
    prometheus::Family<prometheus::Counter>& quota_decisions_;
    prometheus::Family<prometheus::Counter>& quota_asks_;
    prometheus::Counter& silent_connections_;
    prometheus::Gauge& accounts_;
    prometheus::Gauge& table_version_;
    prometheus::Gauge& known_nodes_;
    prometheus::Gauge& known_targets_;
    prometheus::Gauge& log_available_;
    prometheus::Gauge& live_claims_;
    prometheus::Gauge& claim_bytes_;
    prometheus::Gauge& dropped_events_;
    prometheus::Family<prometheus::Gauge>& target_expected_wait_;
    prometheus::Family<prometheus::Gauge>& target_speed_;
    prometheus::Family<prometheus::Gauge>& completion_choices_;
    prometheus::Family<prometheus::Counter>& listener_limits_;
    prometheus::Family<prometheus::Gauge>& lent_slots_;
    prometheus::Family<prometheus::Gauge>& reclaimed_slots_;
    prometheus::Gauge& caller_memory_;
    prometheus::Gauge& caller_connections_;
    prometheus::Family<prometheus::Gauge>& pressure_actions_;
};

}  // namespace teaselpitch
