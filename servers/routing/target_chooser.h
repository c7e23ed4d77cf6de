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
#include "servers/routing/completion_estimate.h"
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
        0};                                      ///< Monotonic time; 0 when the last report was not suspect.
    std::atomic<std::int32_t> own_at_report{0};  ///< Value of `outstanding` at the last report.
    std::atomic<double> expected_wait_ms{0};     ///< Of the last report.
    std::atomic<double> speed{1};                ///< Of the last report; 1 when it had none.
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
    /// Expected time until the request is complete; empty without a choice by completion.
    std::optional<double> expected_ms{};
};

/// Chooses the target of each attempt for one service on one node.
///
/// Samples two eligible targets by weight and chooses the less loaded one. Both come from the local zone
/// while it has spare capacity, otherwise from a zone selected by spare capacity. A target on trial or
/// warming up is selected from all zones by its share alone, because a selection by load would prefer an idle
/// target. When no target has a share, the targets with the lowest outlier scores are chosen. Safe to use
/// from several threads: choosing reads only an immutable view and atomics.
///
/// With the expected work of the request, the choice is by expected completion: the better of two sampled
/// targets of the local zone, or the better of two of the other zones when that is expected to complete the
/// request earlier by more than the noise.
class target_chooser {
public:
    target_chooser(const time_source& clock, chooser_options options, std::uint64_t seed);

    /// Replaces the view after a change of the registry, the table or the ejector's shares. Call it on the
    /// control thread, because it waits for an RCU grace period.
    void update(std::span<const target_candidate> targets, std::span<const zone_limit> limits);
    /// Applies the load report of an answer.
    void on_load_report(const load_report& report);
    /// Chooses a target that is not in `excluded`, the names of the targets of earlier attempts.
    target_choice choose(std::span<const std::string> excluded) { return choose(excluded, std::nullopt); }
    /// Chooses by expected completion when the expected work is given.
    target_choice choose(std::span<const std::string> excluded, const std::optional<expected_work>& work);
    /// Applies the time that an attempt at a target spent on the way, outside of its gate.
    void on_transfer(std::string_view target, std::chrono::nanoseconds time);

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
        /// Time on the way to the zone; negative when unknown. Successive views share it.
        std::shared_ptr<std::atomic<double>> transfer_ms{};
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
    [[nodiscard]] reported_load reported_load_of(const view_target& target, steady_time now) const;
    [[nodiscard]] double transfer_ms(const selection& state, const view_target& target) const;
    std::optional<std::size_t> select_target(selection& state, const std::optional<expected_work>& work);
    std::optional<std::size_t> select_by_completion(selection& state, const expected_work& work);
    std::optional<std::uint32_t> select_zone(selection& state);
    std::size_t select_in_zone(selection& state, std::uint32_t zone);
    [[nodiscard]] std::size_t sample(std::span<const double> weights, std::size_t without);
    double next_uniform();

    const time_source& clock_;
    const chooser_options options_;
    const std::uint64_t seed_;
    std::atomic<std::uint64_t> random_counter_{0};
    rcu_cell<view> view_;
};

}  // namespace teaselpitch
