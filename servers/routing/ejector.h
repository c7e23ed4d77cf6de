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

/// What a target announced about itself.
enum class target_lifecycle : std::uint8_t { starting, ready, leaving };

/// A target as the registry knows it.
struct registered_target {
    target_identity identity{};
    std::string node{};  ///< Name of the node that guards the target.
    std::string zone{};
    std::uint32_t slots = 1;
    double weight = 1.0;
    target_lifecycle lifecycle = target_lifecycle::ready;
    steady_time ready_since{};  ///< On this node's clock; counts when the target is ready.
};

/// Capacity that ejections leave in service, as slots times weight.
struct floor_rule {
    std::string zone{};   ///< Empty for the whole service.
    double capacity = 0;  ///< Least capacity in service.
    double share = 0;     ///< Least share (0 to 1) of the capacity of all registered targets.
};

struct ejector_options {
    std::vector<floor_rule> floors{{.zone = "", .capacity = 0, .share = 0.5}};
    target_state_options states{};
};

enum class ejector_action : std::uint8_t {
    eject,
    readmit,  ///< Returned to full share because of the floor.
    trial,    ///< The trial share changed.
    recover,  ///< Warm-up or trial is over.
    refuse,   ///< Asked for ejection; the floor forbids it.
};

std::string_view to_string(ejector_action action);

/// One decision of the ejector, for the chooser, the log and explain.
struct ejector_decision {
    ejector_action action = ejector_action::eject;
    target_identity target{};
    double share = 0;  ///< Share of its fair traffic that the target gets from now on.
    combined_badness badness{};
    std::string reason{};
};

/// A target's share for the chooser.
struct target_share {
    target_identity target{};
    target_state state = target_state::warming;
    double share = 0;
    double badness = 0;
};

/// Capacity against one floor rule.
struct floor_status {
    floor_rule rule{};
    double registered = 0;  ///< All targets of the zone, leaving and cold-starting ones included.
    double in_service = 0;
    double required = 0;
};

/// Decides for one node and one service which targets are ejected.
///
/// The ejector acts on its own node's view only. It ejects in the order of severity, in steps of 0.5, then
/// target name, so that nodes with the same evidence eject the same targets, and never takes capacity in
/// service below a floor. Leaving, cold-starting and ejected targets all count against the floor. When
/// capacity falls for another reason, the least bad ejected targets are readmitted until it holds.
/// Safe to use from several threads; the lock is held for microseconds.
class ejector {
public:
    ejector(const time_source& clock, ejector_options options);

    /// Replaces the registered targets; a new incarnation starts without evidence.
    std::vector<ejector_decision> on_targets(std::span<const registered_target> targets);
    /// Takes the verdict of a target's own gate; `by_answer` when it rode on an answer to this node,
    /// otherwise it came by gossip.
    std::vector<ejector_decision> on_gate_verdict(std::string_view target, double badness, bool by_answer);
    /// Takes this node's path evidence about one target.
    std::vector<ejector_decision> on_path(std::string_view target, double badness);
    /// Takes this node's path evidence about a node; it counts for every target of that node.
    std::vector<ejector_decision> on_node_path(std::string_view node, double badness);
    /// Takes path evidence of another node about a target.
    std::vector<ejector_decision> on_hint(std::string_view target, std::string_view origin_node,
                                          std::string_view origin_zone, double badness);
    /// Replaces the floors when the table changes.
    std::vector<ejector_decision> on_floors(std::vector<floor_rule> floors);
    /// Advances waits, trials and ageing; call several times a second.
    std::vector<ejector_decision> on_tick();

    /// Shares of all targets, ordered by name.
    [[nodiscard]] std::vector<target_share> shares() const;
    /// Grows whenever `shares()` changes; reads no lock.
    [[nodiscard]] std::uint64_t version() const { return version_.load(std::memory_order_acquire); }
    [[nodiscard]] std::vector<floor_status> floors() const;
    /// The evidence about one target, for explain; empty when it is not registered.
    [[nodiscard]] std::optional<combined_badness> evidence(std::string_view target) const;

private:
    struct entry {
        registered_target target;
        target_state_machine states;
        target_evidence evidence{};
        double frozen_severity = 0;  ///< Severity at the last ejection.
        bool refused = false;
    };
    struct candidate {
        entry* subject = nullptr;
        combined_badness badness{};
        double severity = 0;
        bool removable = false;
    };
    struct node_path {
        double badness = 0;
        steady_time set_at{};
    };
    using decisions = std::vector<ejector_decision>;

    entry* find(std::string_view target);
    [[nodiscard]] target_state_machine new_machine(const registered_target& target) const;
    void update_entry(const registered_target& target);
    [[nodiscard]] double node_path_badness(const entry& subject) const;
    [[nodiscard]] combined_badness badness_of(const entry& subject) const;
    [[nodiscard]] double full_capacity(const entry& subject) const;
    [[nodiscard]] std::vector<floor_status> floor_statuses() const;
    std::optional<candidate> as_candidate(entry& subject);
    void select_removable(std::vector<candidate>& candidates) const;
    void advance_states(decisions& out);
    [[nodiscard]] bool settled() const;
    void evaluate(decisions& out);
    void apply(const candidate& chosen, decisions& out);
    void record(decisions& out, ejector_action action, const entry& subject, const combined_badness& badness,
                std::string reason);
    decisions evaluate_if_needed(entry& subject);

    const time_source& clock_;
    mutable std::mutex mutex_;
    ejector_options options_;
    std::map<std::string, entry, std::less<>> entries_;
    std::map<std::string, node_path, std::less<>> node_paths_;
    std::atomic<std::uint64_t> version_{0};
    /// True when a tick could change something. A node has ejectors for thousands of services, nearly all
    /// of them healthy, so their ticks must cost nothing.
    bool active_ = true;
};

}  // namespace teaselpitch
