#include "modules/node/node_metrics.h"

#include <prometheus/text_serializer.h>

#include <map>

namespace teaselpitch {
namespace {

using labels = std::map<std::string, std::string>;

const prometheus::Histogram::BucketBoundaries latency_buckets{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1,
                                                              0.25,  0.5,    1,     2.5,  5,     10};

prometheus::Family<prometheus::Counter>& register_counters(prometheus::Registry& registry, const char* name,
                                                           const char* help) {
    return prometheus::BuildCounter().Name(name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Histogram>& register_histograms(prometheus::Registry& registry,
                                                               const char* name, const char* help) {
    return prometheus::BuildHistogram().Name(name).Help(help).Register(registry);
}

prometheus::Gauge& register_gauge(prometheus::Registry& registry, const char* name, const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry).Add({});
}

prometheus::Family<prometheus::Gauge>& register_gauges(prometheus::Registry& registry, const char* name,
                                                       const char* help) {
    return prometheus::BuildGauge().Name(name).Help(help).Register(registry);
}

labels service_and_error(std::string_view service, error_kind error) {
    return {{"service", std::string(service)}, {"error", std::string(get_error_answer(error).name)}};
}

double to_seconds(std::chrono::nanoseconds value) {
    return std::chrono::duration<double>(value).count();
}

}  // namespace

node_metrics::node_metrics()
    : requests_(register_counters(registry_, "teaselpitch_requests_total", "Requests of callers by outcome")),
      request_seconds_(register_histograms(registry_, "teaselpitch_request_seconds",
                                           "Time from a caller's head to the end")),
      attempts_(register_counters(registry_, "teaselpitch_attempts_total", "Attempts at targets by outcome")),
      gate_refusals_(
          register_counters(registry_, "teaselpitch_gate_refusals_total", "Requests refused by the gate")),
      target_seconds_(
          register_histograms(registry_, "teaselpitch_target_seconds", "Time until the target's head")),
      store_calls_(
          register_counters(registry_, "teaselpitch_store_calls_total", "Calls to the platform's store")),
      unauthenticated_requests_(register_counters(registry_, "teaselpitch_unauthenticated_requests_total",
                                                  "Requests refused because of their key, by reason")),
      quota_decisions_(register_counters(registry_, "teaselpitch_quota_requests_total",
                                         "Requests of accounts with a quota by decision")),
      quota_asks_(register_counters(registry_, "teaselpitch_quota_asks_total",
                                    "Calls for tokens of a quota by result")),
      silent_connections_(register_counters(registry_, "teaselpitch_silent_connections_total",
                                            "Peer connections replaced because they went silent")
                              .Add({})),
      accounts_(register_gauge(registry_, "teaselpitch_accounts",
                               "Client accounts of the configuration in force; 0 when requests need no key")),
      table_version_(
          register_gauge(registry_, "teaselpitch_table_version", "Version of the table in force here")),
      known_nodes_(register_gauge(registry_, "teaselpitch_known_nodes", "Live nodes in this node's view")),
      known_targets_(register_gauge(registry_, "teaselpitch_known_targets", "Targets in this node's view")),
      log_available_(register_gauge(registry_, "teaselpitch_log_available", "1 while the log answers")),
      live_claims_(register_gauge(registry_, "teaselpitch_claims", "Idempotency keys that are remembered")),
      claim_bytes_(register_gauge(registry_, "teaselpitch_claim_bytes", "Memory of the idempotency keys")),
      dropped_events_(
          register_gauge(registry_, "teaselpitch_dropped_log_lines", "Log lines that were not written")),
      target_expected_wait_(register_gauges(registry_, "teaselpitch_target_expected_wait_seconds",
                                            "Expected time until a slot of the target is free")),
      target_speed_(register_gauges(registry_, "teaselpitch_target_speed",
                                    "Expected divided by observed time of recent runs")),
      completion_choices_(register_gauges(registry_, "teaselpitch_completion_choices",
                                          "Choices of a target by expected completion since the start")),
      listener_limits_(register_counters(registry_, "teaselpitch_listener_limits_total",
                                         "Requests and connections that met a limit of a listener")),
      lent_slots_(register_gauges(registry_, "teaselpitch_lent_slots",
                                  "Slots of a target that their callers' speed keeps taken")),
      reclaimed_slots_(register_gauges(registry_, "teaselpitch_lent_slots_ended_total",
                                       "Slots reclaimed from callers, and loans refused, by reason")),
      caller_memory_(register_gauge(registry_, "teaselpitch_caller_memory_bytes",
                                    "Bytes held for callers, as counted by the memory budget")),
      caller_connections_(
          register_gauge(registry_, "teaselpitch_caller_connections", "Open connections of callers")),
      pressure_actions_(prometheus::BuildGauge()
                            .Name("teaselpitch_pressure_actions_total")
                            .Help("Refusals and closes because of a lack of memory or descriptors")
                            .Register(registry_)) {}

void node_metrics::count_request(std::string_view service, error_kind error,
                                 std::chrono::nanoseconds latency) {
    requests_.Add(service_and_error(service, error)).Increment();
    request_seconds_.Add({{"service", std::string(service)}}, latency_buckets).Observe(to_seconds(latency));
}

void node_metrics::count_attempt(std::string_view service, error_kind error) {
    attempts_.Add(service_and_error(service, error)).Increment();
}

void node_metrics::count_gate_refusal(std::string_view service, error_kind error) {
    gate_refusals_.Add(service_and_error(service, error)).Increment();
}

void node_metrics::count_gate_run(std::string_view service, std::chrono::nanoseconds latency) {
    target_seconds_.Add({{"service", std::string(service)}}, latency_buckets).Observe(to_seconds(latency));
}

void node_metrics::count_store_call(std::string_view call, unsigned status) {
    store_calls_.Add({{"call", std::string(call)}, {"status", std::to_string(status)}}).Increment();
}

void node_metrics::count_quota(std::string_view result, std::string_view reason) {
    quota_decisions_.Add({{"result", std::string(result)}, {"reason", std::string(reason)}}).Increment();
}

void node_metrics::count_quota_ask(std::string_view result) {
    quota_asks_.Add({{"result", std::string(result)}}).Increment();
}

void node_metrics::count_silent_connection() {
    silent_connections_.Increment();
}

void node_metrics::count_unauthenticated(std::string_view reason) {
    unauthenticated_requests_.Add({{"reason", std::string(reason)}}).Increment();
}

void node_metrics::set_account_count(std::size_t accounts) {
    accounts_.Set(static_cast<double>(accounts));
}

void node_metrics::set_table_version(std::uint64_t version) {
    table_version_.Set(static_cast<double>(version));
}

void node_metrics::set_known_counts(std::size_t nodes, std::size_t targets) {
    known_nodes_.Set(static_cast<double>(nodes));
    known_targets_.Set(static_cast<double>(targets));
}

void node_metrics::set_log_available(bool available) {
    log_available_.Set(available ? 1 : 0);
}

void node_metrics::set_claims(std::size_t live, std::size_t bytes) {
    live_claims_.Set(static_cast<double>(live));
    claim_bytes_.Set(static_cast<double>(bytes));
}

void node_metrics::set_dropped_events(std::uint64_t lines) {
    dropped_events_.Set(static_cast<double>(lines));
}

void node_metrics::set_target_backlog(std::string_view target, double expected_wait_ms, double speed) {
    constexpr double ms_per_s = 1'000;
    const labels label{{"target", std::string(target)}};
    target_expected_wait_.Add(label).Set(expected_wait_ms / ms_per_s);
    target_speed_.Add(label).Set(speed);
}

void node_metrics::set_completion_choices(std::uint64_t local_zone, std::uint64_t other_zones) {
    completion_choices_.Add({{"zone", "local"}}).Set(static_cast<double>(local_zone));
    completion_choices_.Add({{"zone", "other"}}).Set(static_cast<double>(other_zones));
}

void node_metrics::count_listener_limit(std::string_view listener, std::string_view limit) {
    listener_limits_.Add({{"listener", std::string(listener)}, {"limit", std::string(limit)}}).Increment();
}

void node_metrics::set_slot_loans(std::string_view target, const slot_loan_load& load) {
    const std::string name(target);
    lent_slots_.Add({{"target", name}}).Set(load.lent);
    const auto set = [&](const char* reason, std::uint64_t count) {
        reclaimed_slots_.Add({{"target", name}, {"reason", reason}}).Set(static_cast<double>(count));
    };
    set("slow_caller", load.reclaimed[static_cast<std::size_t>(reclaim_reason::slow_caller)]);
    set("share", load.reclaimed[static_cast<std::size_t>(reclaim_reason::share)]);
    set("refused", load.refused);
}

void node_metrics::set_caller_memory(std::size_t bytes) {
    caller_memory_.Set(static_cast<double>(bytes));
}

void node_metrics::set_caller_connections(std::size_t count) {
    caller_connections_.Set(static_cast<double>(count));
}

void node_metrics::set_pressure_actions(std::string_view action, std::uint64_t count) {
    pressure_actions_.Add({{"action", std::string(action)}}).Set(static_cast<double>(count));
}

std::string node_metrics::serialize() const {
    return prometheus::TextSerializer().Serialize(registry_.Collect());
}

}  // namespace teaselpitch
