#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/identity.h"
#include "core/rcu_cell.h"
#include "drivers/settings/node_settings.h"
#include "modules/node/account_limits.h"
#include "modules/node/caller_resources.h"
#include "modules/node/cost_awareness.h"
#include "modules/node/node_metrics.h"
#include "modules/node/quota_service.h"
#include "modules/node/routing_table.h"
#include "modules/node/service_directory.h"
#include "modules/node/target_manager.h"
#include "servers/admission/drain_schedule.h"
#include "servers/admission/key_trust.h"
#include "servers/exchange/http_dialect.h"
#include "servers/health/path_fault_detector.h"
#include "servers/records/decision_log.h"
#include "servers/records/outcome_counters.h"

namespace teaselpitch {

/// Identity and address of a node.
struct node_address {
    node_identity identity;
    endpoint peer;
    std::string zone;
    bool reachable = true;  ///< False while direct probes fail although the node is considered alive.
};

/// Alive nodes by name. Immutable; replaced as a whole.
using node_directory = name_map<node_address>;

/// State shared by the shards and the control thread of one node. Every member is safe for use by several
/// threads.
struct node_context {
    node_context(const node_settings& settings_in, const http_dialect& dialect_in,
                 const time_source& clock_in, node_identity self_in,
                 std::function<void(std::function<void()>)> post_to_control_thread_in);

    const node_settings& settings;
    const http_dialect&
        dialect;  ///< Names of the header fields in requests and answers of callers and targets.
    const time_source& clock;
    const node_identity self;
    /// Runs a function on the control thread.
    const std::function<void(std::function<void()>)> post_to_control_thread;

    caller_resources resources;
    decision_log decisions;
    outcome_counters outcomes;
    node_metrics metrics;
    path_fault_detector path_detector;
    std::optional<cost_awareness> costs;  ///< Empty without routing.cost_aware.
    rcu_cell<routing_table> routing;
    rcu_cell<node_directory> nodes;
    service_directory services;
    target_manager targets;
    account_limits accounts;
    key_trust account_keys;
    quota_service quotas;
    std::atomic<bool> draining{false};
    std::atomic<steady_time> drain_start{steady_time{}};  ///< Valid while draining.
    std::atomic<bool> has_configuration{
        true};  ///< False while a node with the platform's store waits for its first configuration.
    std::atomic<ticket_id> next_ticket{1};
    std::atomic<std::uint64_t> next_request_number{1};

    /// Returns the times of the planned stop; empty while the node is not stopping.
    [[nodiscard]] std::optional<drain_schedule> stop_schedule() const;

    /// Called with each change of a guarded target, which is then announced to the other nodes. Must be set
    /// before the threads start.
    std::function<void(const managed_target_fact&)> target_changed;
    /// Called for each request that ran when a target of this node crashed. Must be set before the threads
    /// start.
    crash_recorder::crash_hook target_crashed;
};

}  // namespace teaselpitch
