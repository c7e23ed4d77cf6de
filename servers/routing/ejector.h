#pragma once

#include <atomic>
#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "servers/routing/target_evidence.h"
#include "servers/routing/target_state_machine.h"

namespace teaselpitch {

/// Lifecycle state that a target announces.
enum class target_lifecycle : std::uint8_t { starting, ready, leaving };

/// Registry record of a target.
struct registered_target {
    target_identity identity{};
    std::string node{};  ///< Name of the node that guards the target.
    std::string zone{};
    std::uint32_t slots = 1;
    double weight = 1.0;
    target_lifecycle lifecycle = target_lifecycle::ready;
    steady_time ready_since{};  ///< Time on this node's clock; valid only when the target is ready.
};

/// Minimum capacity that ejections must leave in service. Capacity is slots times weight.
struct floor_rule {
    std::string zone{};   ///< Empty for the whole service.
    double capacity = 0;  ///< Minimum capacity in service.
    double share = 0;     ///< Minimum share (0 to 1) of the capacity of all registered targets.
};

struct ejector_options {
    std::vector<floor_rule> floors{{.zone = "", .capacity = 0, .share = 0.5}};
    target_state_options states{};
};

enum class ejector_action : std::uint8_t {
    eject,
    readmit,  ///< Returned to its full share to meet the floor.
    trial,    ///< The trial share changed.
    recover,  ///< Warm-up or trial completed.
    refuse,   ///< The evidence triggers an ejection that the floor forbids.
};

std::string_view to_string(ejector_action action);

/// One decision of the ejector, as used by the target chooser, the log and the explain query.
struct ejector_decision {
    ejector_action action = ejector_action::eject;
    target_identity target{};
    double share = 0;  ///< Share (0 to 1) of its fair traffic that the target receives after the decision.
    combined_outlier_score outlier_score{};
    std::string reason{};
};

/// Share of the fair traffic that the target chooser gives to a target.
struct target_share {
    target_identity target{};
    target_state state = target_state::warming;
    double share = 0;
    double outlier_score = 0;
};

/// Capacity compared with one floor rule.
struct floor_status {
    floor_rule rule{};
    double registered =
        0;  ///< Capacity of all targets in the zone, including leaving and cold-starting ones.
    double in_service = 0;
    double required = 0;
};

/// Decides on one node which targets of one service are ejected.
///
/// The ejector uses its own node's view only. It ejects in descending order of severity, rounded down to
/// steps of 0.5, and then by target name, so that nodes with the same evidence eject the same targets.
/// Ejections never reduce the capacity in service below a floor; leaving, cold-starting and ejected targets
/// all count as out of service. When capacity is lost for another reason, the ejected targets with the lowest
/// severity are readmitted until the floor is met. Safe to use from several threads; the lock is held for
/// microseconds.
class ejector {
public:
    ejector(const time_source& clock, ejector_options options);

    /// Replaces the registered targets. A new incarnation starts without evidence.
    std::vector<ejector_decision> replace_targets(std::span<const registered_target> targets);
    /// Applies the verdict of a target's own gate. `from_answer` is true when the verdict arrived with an
    /// answer to this node and false when it arrived by gossip.
    std::vector<ejector_decision> on_gate_verdict(std::string_view target, double outlier_score,
                                                  bool from_answer);
    /// Applies this node's path evidence about one target.
    std::vector<ejector_decision> on_path_evidence(std::string_view target, double outlier_score);
    /// Applies this node's path evidence about another node to every target of that node.
    std::vector<ejector_decision> on_node_path_evidence(std::string_view node, double outlier_score);
    /// Applies another node's path evidence about a target.
    std::vector<ejector_decision> on_hint(std::string_view target, std::string_view origin_node,
                                          std::string_view origin_zone, double outlier_score);
    /// Replaces the floors after a table change.
    std::vector<ejector_decision> replace_floors(std::vector<floor_rule> floors);
    /// Advances waits, trials and the decay of evidence. Call several times a second.
    std::vector<ejector_decision> on_tick();

    /// Returns the shares of all targets, ordered by name.
    [[nodiscard]] std::vector<target_share> shares() const;
    /// Returns a number that increases with each change of `shares()`. Takes no lock.
    [[nodiscard]] std::uint64_t version() const { return version_.load(std::memory_order_acquire); }
    [[nodiscard]] std::vector<floor_status> floors() const;
    /// Returns the evidence about one target for the explain query; empty when the target is not registered.
    [[nodiscard]] std::optional<combined_outlier_score> evidence(std::string_view target) const;

private:
    struct entry {
        registered_target target;
        target_state_machine states;
        target_evidence evidence{};
        double severity_at_ejection = 0;  ///< Severity at the last ejection.
        bool ejection_refused = false;
    };
    struct candidate {
        entry* target_entry = nullptr;
        combined_outlier_score outlier_score{};
        double severity = 0;
        bool ejectable = false;
    };
    struct node_path {
        double outlier_score = 0;
        steady_time updated_at{};
    };
    using decisions = std::vector<ejector_decision>;

    entry* find_entry(std::string_view target);
    [[nodiscard]] target_state_machine make_state_machine(const registered_target& target) const;
    void update_entry(const registered_target& target);
    [[nodiscard]] double node_path_outlier_score(const entry& target_entry) const;
    [[nodiscard]] combined_outlier_score outlier_score_of(const entry& target_entry) const;
    [[nodiscard]] double capacity_unless_ejected(const entry& target_entry) const;
    [[nodiscard]] std::vector<floor_status> floors_without_ejections() const;
    std::optional<candidate> make_candidate(entry& target_entry);
    void mark_ejectable(std::vector<candidate>& candidates) const;
    void advance_states(decisions& out);
    [[nodiscard]] bool is_settled() const;
    void evaluate_ejections(decisions& out);
    void apply(const candidate& chosen, decisions& out);
    void add_decision(decisions& out, ejector_action action, const entry& target_entry,
                      const combined_outlier_score& outlier_score, std::string reason);
    decisions evaluate_ejections_if_needed(entry& target_entry);

    const time_source& clock_;
    mutable std::mutex mutex_;
    ejector_options options_;
    std::map<std::string, entry, std::less<>> entries_;
    std::map<std::string, node_path, std::less<>> node_paths_;
    std::atomic<std::uint64_t> version_{0};
    /// True when on_tick() could change a state. A node has ejectors for thousands of services, nearly all of
    /// them healthy, so a tick of a healthy service must cost almost nothing.
    bool needs_tick_ = true;
};

}  // namespace teaselpitch
