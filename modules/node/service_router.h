#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/rcu_cell.h"
#include "servers/records/decision_log.h"
#include "servers/routing/ejector.h"
#include "servers/routing/name_map.h"
#include "servers/routing/retry_policy.h"
#include "servers/routing/target_chooser.h"

namespace teaselpitch {

/// Routing rules of one service from the table.
struct service_rules {
    struct zone_rule {
        std::string zone;  ///< Empty for the rule that applies to all other zones.
        double weight = 1;
        std::uint32_t limit = 0;  ///< Maximum number of concurrent requests of the zone; 0 for no limit.
        double floor_share = 0;   ///< 0..1
    };
    std::vector<zone_rule> zones;
    double retry_budget_share = 0.1;
};

/// Routes the requests of one service on this node: ejects targets, chooses targets and decides about
/// retries.
///
/// The shards report health evidence and choose targets; refresh() runs on the control thread only.
class service_router {
public:
    service_router(const time_source& clock, std::string service, chooser_options options, std::uint64_t seed,
                   decision_log& decisions, std::function<void()> shares_changed, retry_options retries = {});

    // Commands for the control thread.
    void on_targets(std::vector<registered_target> targets);
    void on_rules(const service_rules& rules);
    void on_tick();
    /// Updates the target chooser when the ejector has changed the traffic shares.
    void refresh();

    // Commands for any thread.
    void on_load(const load_report& report);
    void on_path_score(std::string_view target, double outlier_score);
    void on_node_path_score(std::string_view node, double outlier_score);
    void on_hint(std::string_view target, std::string_view origin_node, std::string_view origin_zone,
                 double outlier_score);
    void on_gossiped_verdict(std::string_view target, double outlier_score);
    /// Chooses by expected completion when the expected work is given.
    target_choice choose(std::span<const std::string> tried,
                         const std::optional<expected_work>& work = std::nullopt) {
        return chooser_.choose(tried, work);
    }
    /// Applies the time that an attempt spent on the way to the target.
    void on_transfer(std::string_view target, std::chrono::nanoseconds time) {
        chooser_.on_transfer(target, time);
    }
    retry_policy& retries() { return retries_; }

    // Queries.
    [[nodiscard]] const std::string& service() const { return service_; }
    [[nodiscard]] const ejector& ejections() const { return ejector_; }
    /// Returns the name of the node that guards a target; empty when the target is unknown.
    [[nodiscard]] std::string node_of(std::string_view target) const;
    [[nodiscard]] std::vector<registered_target> targets() const;

private:
    void publish_decisions(const std::vector<ejector_decision>& decisions);
    [[nodiscard]] const service_rules::zone_rule& rule_of(std::string_view zone) const;
    [[nodiscard]] std::vector<target_candidate> choosable_targets() const;

    const std::string service_;
    decision_log& decisions_;
    const std::function<void()> shares_changed_;
    ejector ejector_;
    target_chooser chooser_;
    retry_policy retries_;
    rcu_cell<name_map<std::string>> node_by_target_;

    mutable std::mutex mutex_;  ///< Guards the two members below.
    std::vector<registered_target> targets_;
    service_rules rules_;
    std::uint64_t refreshed_version_ = 0;  ///< Control thread only.
};

}  // namespace teaselpitch
