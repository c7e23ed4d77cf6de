#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/error_kind.h"
#include "core/identity.h"
#include "core/rcu_cell.h"
#include "servers/exchange/exchange.h"
#include "servers/routing/name_map.h"

namespace teaselpitch {

struct chooser_options {
    std::string local_zone{};
    /// Load per slot up to which the local zone receives all requests.
    double local_zone_max_load = 0.8;
    std::chrono::milliseconds warm_up{10'000};
    /// Age at which a load report has no effect any more.
    std::chrono::milliseconds report_lifetime{2'000};
    /// Time for which a target reported as suspect by its gate is chosen only when no other target is left.
    std::chrono::milliseconds suspicion_time{700};
    /// The same time while the other targets have spare capacity, so that no capacity is missed if the
    /// suspect target has already recovered.
    std::chrono::milliseconds suspicion_time_with_spare_capacity{2'000};
    /// Load per slot of the other targets below which they have spare capacity.
    double spare_capacity_max_load = 0.7;
};

/// A target that can be chosen, combined from the registry, the table row of its zone and the ejector.
struct target_candidate {
    target_identity identity{};
    std::string node{};
    std::string zone{};
    std::uint32_t slots = 1;
    double weight = 1.0;
    double share = 1.0;            ///< From the ejector; 0 for ejected, starting and leaving targets.
    double outlier_score = 0;      ///< From the ejector; ranks the targets when none has a share.
    bool accepts_requests = true;  ///< False for starting and leaving targets.
    steady_time ready_since{};     ///< Start of the warm-up.
};

/// Concurrency limit of a service in one zone.
struct zone_limit {
    std::string zone{};
    std::uint32_t max_concurrent_requests =
        0;  ///< Maximum number of requests that run or wait at the zone's targets.
};

/// Load of one target. Successive views share it.
struct target_load {
    std::atomic<std::int32_t> outstanding{0};  ///< Unfinished requests of this node.
    std::atomic<std::int32_t> requests_of_others{
        0};  ///< Requests of other nodes according to the last load report.
    std::atomic<std::int64_t> reported_at_ns{0};  ///< Monotonic time of the last report; 0 without one.
    std::atomic<bool> leaving{false};
    std::atomic<std::int64_t> suspected_at_ns{
        0};  ///< Monotonic time; 0 when the last report was not suspect.
};

/// A chosen target. The request counts as outstanding until this object is destroyed.
class chosen_target {
public:
    chosen_target(target_identity target, std::string node, std::string zone,
                  std::shared_ptr<target_load> load);
    chosen_target(chosen_target&&) noexcept = default;
    chosen_target& operator=(chosen_target&&) noexcept;
    chosen_target(const chosen_target&) = delete;
    chosen_target& operator=(const chosen_target&) = delete;
    ~chosen_target();

    [[nodiscard]] const target_identity& target() const { return target_; }
    [[nodiscard]] const std::string& node() const { return node_; }
    [[nodiscard]] const std::string& zone() const { return zone_; }

private:
    void release();

    target_identity target_;
    std::string node_;
    std::string zone_;
    std::shared_ptr<target_load> load_;
};

/// Either a chosen target or the reason why there is none: no_target or overloaded.
struct target_choice {
    std::optional<chosen_target> target;
    error_kind error = error_kind::none;
    bool suspect = false;  ///< All remaining targets are suspect.
};

/// Chooses the target of each attempt for one service on one node.
///
/// Samples two eligible targets by weight and chooses the less loaded one. Both come from the local zone
/// while it has spare capacity, otherwise from a zone selected by spare capacity. A target on trial or
/// warming up is selected from all zones by its share alone, because a selection by load would prefer an idle
/// target. When no target has a share, the targets with the lowest outlier scores are chosen. Safe to use
/// from several threads: choosing reads only an immutable view and atomics.
class target_chooser {
public:
    target_chooser(const time_source& clock, chooser_options options, std::uint64_t seed);

    /// Replaces the view after a change of the registry, the table or the ejector's shares. Call it on the
    /// control thread, because it waits for an RCU grace period.
    void update(std::span<const target_candidate> targets, std::span<const zone_limit> limits);
    /// Applies the load report of an answer.
    void on_load_report(const load_report& report);
    /// Chooses a target that is not in `excluded`, the names of the targets of earlier attempts.
    target_choice choose(std::span<const std::string> excluded);

    /// Returns the estimated running and queued requests per slot; empty for an unknown target.
    [[nodiscard]] std::optional<double> load_of(std::string_view target) const;

private:
    struct view_target {
        target_candidate target;
        std::uint32_t zone = 0;  ///< Index into the zones of the view.
        std::shared_ptr<target_load> load;
    };
    struct view_zone {
        std::string name{};
        double limit = 0;  ///< Infinite without a limit.
    };
    struct view {
        std::vector<view_target> targets;
        std::vector<view_zone> zones;
        name_map<std::uint32_t> by_name;
    };
    struct selection;

    std::shared_ptr<view> build_view(std::span<const target_candidate> targets,
                                     std::span<const zone_limit> limits) const;
    [[nodiscard]] double load_at(const view_target& target, steady_time now) const;
    [[nodiscard]] double share_at(const view_target& target, steady_time now) const;
    [[nodiscard]] bool suspected_within(const view_target& target, steady_time now,
                                        std::chrono::milliseconds time) const;
    [[nodiscard]] std::chrono::milliseconds current_suspicion_time(const selection& state) const;
    void compute_weights(selection& state, std::span<const std::string> excluded) const;
    void exclude_suspects(selection& state) const;
    std::optional<std::size_t> select_target(selection& state);
    std::optional<std::uint32_t> select_zone(selection& state);
    std::size_t select_in_zone(selection& state, std::uint32_t zone);
    double next_uniform();

    const time_source& clock_;
    const chooser_options options_;
    const std::uint64_t seed_;
    std::atomic<std::uint64_t> random_counter_{0};
    rcu_cell<view> view_;
};

}  // namespace teaselpitch
