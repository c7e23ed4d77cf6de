#pragma once

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "core/identity.h"
#include "core/rcu_cell.h"
#include "drivers/settings/node_settings.h"
#include "modules/node/account_limits.h"
#include "modules/node/node_metrics.h"
#include "modules/node/routing_table.h"
#include "modules/node/service_directory.h"
#include "modules/node/target_keeper.h"
#include "servers/exchange/http_dialect.h"
#include "servers/health/path_fault_detector.h"
#include "servers/records/decision_log.h"
#include "servers/records/outcome_counters.h"

namespace teaselpitch {

/// How to reach another node.
struct node_address {
    node_identity identity;
    endpoint peer;
    std::string zone;
    bool reachable = true;  ///< False while direct probes fail although the node is alive.
};

/// Live nodes by name; immutable and replaced as a whole.
using node_directory = name_map<node_address>;

/// State that the shards and the control thread of one node share. Every member is safe to use from several
/// threads.
struct node_context {
    node_context(const node_settings& settings_in, const http_dialect& dialect_in,
                 const time_source& clock_in, node_identity self_in,
                 std::function<void(std::function<void()>)> post_control_in);

    const node_settings& settings;
    const http_dialect& dialect;  ///< Header fields towards callers and targets.
    const time_source& clock;
    const node_identity self;
    /// Runs a function on the control thread.
    const std::function<void(std::function<void()>)> post_control;

    decision_log decisions;
    outcome_counters outcomes;
    node_metrics metrics;
    path_fault_detector paths;
    rcu_cell<routing_table> routing;
    rcu_cell<node_directory> nodes;
    service_directory services;
    target_keeper targets;
    account_limits accounts;
    std::atomic<bool> draining{false};
    std::atomic<steady_time> answer_by{steady_time{}};  ///< While draining: the time of the last answers.
    std::atomic<bool> configured{true};  ///< False until the first configuration of a node that needs one.
    std::atomic<ticket_id> tickets{1};
    std::atomic<std::uint64_t> request_numbers{1};

    /// Facts about guarded targets go through this hook to the other nodes; set before the threads start.
    std::function<void(const kept_target_fact&)> target_changed;
    /// Told when a request crashed a target here; set before the threads start.
    std::function<void(const gate_run&, std::uint64_t fingerprint)> target_crashed;
};

}  // namespace teaselpitch
