#include "modules/node/node_context.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

constexpr std::size_t records_per_subject = 4'096;

retry_options retry_options_of(const node_settings& settings) {
    retry_options options;
    options.min_retries_per_s = settings.retry_floor_per_s;
    return options;
}

std::optional<fleet_retry_budget_options> retry_budget_options_of(const node_settings& settings) {
    if (!settings.fleet_retries) {
        return std::nullopt;
    }
    // The gates use less than the whole budget, because they count whole seconds by their own clocks and a
    // restarted gate has lost the count of the retries that it admitted.
    constexpr double budget_fraction = 0.85;
    const fleet_retry_settings& shared = *settings.fleet_retries;
    return fleet_retry_budget_options{.ratio = budget_fraction * shared.ratio,
                                      .slack = budget_fraction * shared.slack,
                                      .window = shared.window,
                                      .min_target_count = 4};
}

slot_loan_options slot_loan_options_of(const node_settings& settings) {
    slot_loan_options options;
    options.patience = settings.caller_patience;
    options.repeated_patience = std::min(options.repeated_patience, options.patience);
    options.min_bytes_per_s = settings.caller_min_bytes_per_s;
    options.kept_share = settings.kept_slot_share;
    return options;
}

/// Announcements may arrive seconds late, so a target is removed only after several heartbeats were missed.
std::chrono::milliseconds renewal_limit_of(const node_settings& settings) {
    constexpr int missed_heartbeats = 4;
    return settings.store ? settings.store->heartbeat * missed_heartbeats
                          : target_manager::default_renewal_limit;
}

}  // namespace

node_context::node_context(const node_settings& settings_in, const http_dialect& dialect_in,
                           const time_source& clock_in, node_identity self_in,
                           std::function<void(std::function<void()>)> post_to_control_thread_in)
    : settings(settings_in),
      dialect(dialect_in),
      clock(clock_in),
      self(std::move(self_in)),
      post_to_control_thread(std::move(post_to_control_thread_in)),
      resources(settings, clock),
      decisions(clock, records_per_subject),
      outcomes(clock),
      path_detector(clock, path_fault_options_for(detection_policy::balanced)),
      costs(settings.cost_aware ? std::make_optional<cost_awareness>(clock) : std::nullopt),
      routing(
          std::make_shared<const routing_table>(std::make_shared<const table>(), settings.availability_zone)),
      nodes(std::make_shared<const node_directory>()),
      services(clock, {.local_zone = settings.availability_zone, .warm_up = settings.warm_up},
               retry_options_of(settings), decisions,
               [this](const std::string& service) {
                   post_to_control_thread([this, service] { services.router(service).refresh(); });
               }),
      targets(
          clock,
          {.admission_of = [this](std::string_view service) { return routing.read()->admission_of(service); },
           .target_changed = [this](const managed_target_fact& fact) { target_changed(fact); },
           .target_crashed = [this](const std::string& service,
                                    const crash_report& crash) { target_crashed(service, crash); }},
          decisions, renewal_limit_of(settings), retry_budget_options_of(settings),
          costs ? &costs->estimator() : nullptr, slot_loan_options_of(settings)),
      accounts(clock, self, [this] { return routing.read(); }),
      account_keys(clock, {.fail_closed = settings.accounts_fail_closed,
                           .revoke_after = settings.accounts_revoke_after}),
      quotas(clock, self, metrics,
             {.quota_of =
                  [this](std::string_view account) {
                      const auto table = routing.read();
                      const client_account* found = table->accounts().find(account);
                      return found == nullptr ? account_quota{} : found->quota;
                  },
              .version = [this] { return routing.read()->rows().version(); },
              .post_to_control_thread = post_to_control_thread}) {}

std::optional<drain_schedule> node_context::stop_schedule() const {
    if (!draining) {
        return std::nullopt;
    }
    // The platform kills the process at its drain limit, and requests on connections that are still open then
    // get no answer.
    return settings.store ? plan_drain_before_kill(drain_start, settings.store->drain_limit)
                          : plan_drain(drain_start, settings.drain_timeout);
}

}  // namespace teaselpitch
