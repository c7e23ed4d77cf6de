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
    std::string own_zone{};
    /// Load per slot up to which the own zone takes all work.
    double own_zone_load = 0.8;
    std::chrono::milliseconds warm_up{10'000};
    /// Age at which a load report has lost its effect.
    std::chrono::milliseconds report_lifetime{2'000};
    /// Time for which a target that its gate suspects is chosen only when no other is left.
    std::chrono::milliseconds suspicion{700};
    /// The same while the other targets have room, so that nothing is lost when the target is good again.
    std::chrono::milliseconds suspicion_with_room{2'000};
    /// Load per slot of the other targets up to which they have room.
    double room_load = 0.7;
};

/// A target as the chooser sees it: registry, table row of its zone and ejector together.
struct choosable_target {
    target_identity identity{};
    std::string node{};
    std::string zone{};
    std::uint32_t slots = 1;
    double weight = 1.0;
    double share = 1.0;         ///< From the ejector; 0 for ejected, starting and leaving targets.
    double badness = 0;         ///< From the ejector; orders the targets when none has a share.
    bool takes_work = true;     ///< False for starting and leaving targets.
    steady_time ready_since{};  ///< Start of the warm-up.
};

/// Limit of a service in one zone.
struct zone_limit {
    std::string zone{};
    std::uint32_t concurrent = 0;  ///< Requests that run or wait at the zone's targets at once.
};

/// Load of one target, shared between successive views.
struct target_load {
    std::atomic<std::int32_t> outstanding{0};     ///< Requests of this node that have not ended.
    std::atomic<std::int32_t> others{0};          ///< Requests of other nodes by the last report.
    std::atomic<std::int64_t> reported_at_ns{0};  ///< Monotonic time of the report; 0 for none.
    std::atomic<bool> leaving{false};
    std::atomic<std::int64_t> suspected_at_ns{0};  ///< Monotonic time; 0 when the last report was good.
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

/// Either a target or the reason why there is none: no_target or overloaded.
struct choice {
    std::optional<chosen_target> target;
    error_kind error = error_kind::none;
    bool suspect = false;  ///< Every target that is left is suspect.
};

/// Chooses the target of each attempt for one service on one node.
///
/// Samples two eligible targets by weight and takes the less loaded, in the own zone while that has
/// room, otherwise in a zone drawn by room. A target on trial or warming up is drawn from all zones by
/// its share alone, because the choice by load would prefer an idle target. When no target has a
/// share, the least bad ones get the work. Safe to use from several threads: choosing reads an immutable view
/// and atomics only.
class target_chooser {
public:
    target_chooser(const time_source& clock, chooser_options options, std::uint64_t seed);

    /// Replaces the view; called when the registry, the table or the ejector's shares change. Waits
    /// for a grace period, so it belongs on the control thread.
    void update(std::span<const choosable_target> targets, std::span<const zone_limit> limits);
    /// Takes the load report of an answer.
    void on_load(const load_report& report);
    /// Chooses a target that is not among the excluded ones (targets of earlier attempts, by name).
    choice choose(std::span<const std::string> excluded);

    /// Estimated running and queued requests per slot; empty for an unknown target.
    [[nodiscard]] std::optional<double> load_of(std::string_view target) const;

private:
    struct view_target {
        choosable_target target;
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
    struct draw;

    std::shared_ptr<view> build_view(std::span<const choosable_target> targets,
                                     std::span<const zone_limit> limits) const;
    [[nodiscard]] double load_at(const view_target& target, steady_time now) const;
    [[nodiscard]] double share_at(const view_target& target, steady_time now) const;
    [[nodiscard]] bool suspected_within(const view_target& target, steady_time now,
                                        std::chrono::milliseconds time) const;
    [[nodiscard]] std::chrono::milliseconds suspicion_now(const draw& state) const;
    void weigh(draw& state, std::span<const std::string> excluded) const;
    void leave_out_suspects(draw& state) const;
    std::optional<std::size_t> draw_target(draw& state);
    std::optional<std::uint32_t> draw_zone(draw& state);
    std::size_t draw_in_zone(draw& state, std::uint32_t zone);
    double next_random();

    const time_source& clock_;
    const chooser_options options_;
    const std::uint64_t seed_;
    std::atomic<std::uint64_t> draws_{0};
    rcu_cell<view> view_;
};

}  // namespace teaselpitch
