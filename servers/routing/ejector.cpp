#include "servers/routing/ejector.h"

#include <absl/strings/str_format.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <set>
#include <utility>

namespace teaselpitch {
namespace {

constexpr double eject_at = 1.0;
constexpr double trial_passes_below = 0.5;
// Severities are compared in steps of this size, so that small differences between the verdicts that nodes
// have seen do not make them eject different targets.
constexpr double severity_step = 0.5;
constexpr double rounding = 1e-9;
constexpr std::chrono::seconds node_path_lifetime{4};  // The path judge renews its evidence each second.

double severity_level(double badness) {
    return std::floor(badness / severity_step) * severity_step;
}

bool is_out(target_state state, bool in_service) {
    return state == target_state::ejected || (state == target_state::trial && !in_service);
}

bool in_zone(const floor_rule& rule, const registered_target& target) {
    return rule.zone.empty() || rule.zone == target.zone;
}

std::string describe(const combined_badness& badness) {
    return absl::StrFormat("badness %.2f (gate %.2f, path %.2f, hints %.2f from %u zones)", badness.total,
                           badness.gate, badness.path, badness.hints, badness.agreeing_zones);
}

}  // namespace

std::string_view to_string(ejector_action action) {
    constexpr std::array<std::string_view, 5> names{"eject", "readmit", "trial", "recover", "refuse"};
    return names[static_cast<std::size_t>(action)];
}

ejector::ejector(const time_source& clock, ejector_options options)
    : clock_(clock), options_(std::move(options)) {}

std::vector<ejector_decision> ejector::on_targets(std::span<const registered_target> targets) {
    const std::lock_guard lock(mutex_);
    std::set<std::string_view> named;
    for (const registered_target& target : targets) {
        named.insert(target.identity.name);
        update_entry(target);
    }
    std::erase_if(entries_, [&](const auto& item) { return !named.contains(item.first); });
    version_.fetch_add(1, std::memory_order_release);
    active_ = true;
    decisions out;
    evaluate(out);
    return out;
}

std::vector<ejector_decision> ejector::on_gate_verdict(std::string_view target, double badness,
                                                       bool by_answer) {
    const std::lock_guard lock(mutex_);
    entry* subject = find(target);
    if (subject == nullptr) {
        return {};
    }
    subject->evidence.set_gate(clock_.now(), badness, by_answer);
    return evaluate_if_needed(*subject);
}

std::vector<ejector_decision> ejector::on_path(std::string_view target, double badness) {
    const std::lock_guard lock(mutex_);
    entry* subject = find(target);
    if (subject == nullptr) {
        return {};
    }
    subject->evidence.set_path(clock_.now(), badness);
    return evaluate_if_needed(*subject);
}

std::vector<ejector_decision> ejector::on_node_path(std::string_view node, double badness) {
    const std::lock_guard lock(mutex_);
    decisions out;
    if (badness <= 0) {
        node_paths_.erase(std::string(node));
        return out;
    }
    active_ = true;
    node_paths_[std::string(node)] = {badness, clock_.now()};
    if (badness >= eject_at) {
        evaluate(out);
    }
    return out;
}

std::vector<ejector_decision> ejector::on_hint(std::string_view target, std::string_view origin_node,
                                               std::string_view origin_zone, double badness) {
    const std::lock_guard lock(mutex_);
    entry* subject = find(target);
    if (subject == nullptr) {
        return {};
    }
    subject->evidence.set_hint(clock_.now(), origin_node, origin_zone, badness);
    return evaluate_if_needed(*subject);
}

std::vector<ejector_decision> ejector::on_floors(std::vector<floor_rule> floors) {
    const std::lock_guard lock(mutex_);
    active_ = true;
    options_.floors = std::move(floors);
    decisions out;
    evaluate(out);
    return out;
}

std::vector<ejector_decision> ejector::on_tick() {
    const std::lock_guard lock(mutex_);
    decisions out;
    if (!active_) {
        return out;
    }
    std::erase_if(node_paths_, [now = clock_.now()](const auto& item) {
        return now - item.second.set_at > node_path_lifetime;
    });
    advance_states(out);
    evaluate(out);
    active_ = !settled();
    return out;
}

std::vector<target_share> ejector::shares() const {
    const std::lock_guard lock(mutex_);
    std::vector<target_share> result;
    result.reserve(entries_.size());
    for (const auto& [name, subject] : entries_) {
        const bool takes_work = subject.target.lifecycle == target_lifecycle::ready;
        result.push_back({.target = subject.target.identity,
                          .state = subject.states.state(),
                          .share = takes_work ? subject.states.share() : 0.0,
                          .badness = badness_of(subject).total});
    }
    return result;
}

std::vector<floor_status> ejector::floors() const {
    const std::lock_guard lock(mutex_);
    std::vector<floor_status> result = floor_statuses();
    for (floor_status& status : result) {
        for (const auto& [name, subject] : entries_) {
            const bool out = is_out(subject.states.state(), subject.states.in_service());
            status.in_service -= out && in_zone(status.rule, subject.target) ? full_capacity(subject) : 0.0;
        }
    }
    return result;
}

std::optional<combined_badness> ejector::evidence(std::string_view target) const {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(target);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    return badness_of(found->second);
}

ejector::entry* ejector::find(std::string_view target) {
    const auto found = entries_.find(target);
    return found == entries_.end() ? nullptr : &found->second;
}

target_state_machine ejector::new_machine(const registered_target& target) const {
    const bool ready = target.lifecycle == target_lifecycle::ready;
    return {clock_, options_.states, ready ? target.ready_since : clock_.now()};
}

void ejector::update_entry(const registered_target& target) {
    entry* known = find(target.identity.name);
    const bool starts_anew = known == nullptr || known->target.identity != target.identity ||
                             (known->target.lifecycle == target_lifecycle::starting &&
                              target.lifecycle == target_lifecycle::ready);
    if (starts_anew) {
        entries_.insert_or_assign(target.identity.name,
                                  entry{.target = target, .states = new_machine(target), .evidence = {}});
        known = find(target.identity.name);
    }
    known->target = target;
    if (target.lifecycle == target_lifecycle::leaving) {
        known->states.leave();
    }
}

double ejector::node_path_badness(const entry& subject) const {
    const auto found = node_paths_.find(subject.target.node);
    return found == node_paths_.end() ? 0.0 : found->second.badness;
}

combined_badness ejector::badness_of(const entry& subject) const {
    return subject.evidence.combined(clock_.now(), node_path_badness(subject));
}

// Capacity that the target has in service unless it is ejected: none while it starts, warms up or leaves.
double ejector::full_capacity(const entry& subject) const {
    const registered_target& target = subject.target;
    const bool warm = clock_.now() - target.ready_since >= options_.states.warm_up;
    const bool serves = target.lifecycle == target_lifecycle::ready && warm &&
                        subject.states.state() != target_state::leaving;
    return serves ? target.slots * target.weight : 0.0;
}

// The floors with the capacity that is in service when nothing is ejected.
std::vector<floor_status> ejector::floor_statuses() const {
    std::vector<floor_status> result;
    for (const floor_rule& rule : options_.floors) {
        floor_status status{.rule = rule};
        for (const auto& [name, subject] : entries_) {
            if (in_zone(rule, subject.target)) {
                status.registered += subject.target.slots * subject.target.weight;
                status.in_service += full_capacity(subject);
            }
        }
        status.required = std::max(rule.capacity, rule.share * status.registered);
        result.push_back(std::move(status));
    }
    return result;
}

std::optional<ejector::candidate> ejector::as_candidate(entry& subject) {
    const target_state state = subject.states.state();
    if (subject.target.lifecycle != target_lifecycle::ready || state == target_state::leaving) {
        return std::nullopt;
    }
    candidate result{.subject = &subject, .badness = badness_of(subject)};
    double severity = result.badness.total;
    if (state == target_state::ejected) {
        // Evidence fades without work, but the target stays as bad as it was until a trial shows otherwise.
        subject.frozen_severity = std::max(subject.frozen_severity, severity);
        severity = subject.frozen_severity;
    } else if (state == target_state::trial && !subject.states.in_service()) {
        severity = std::max(severity, subject.frozen_severity * (1.0 - std::sqrt(subject.states.share())));
    } else if (severity < eject_at) {
        return std::nullopt;
    }
    result.severity = severity_level(severity);
    return result;
}

// Walks the candidates from worst to least bad and takes out each one that all floors allow.
void ejector::select_removable(std::vector<candidate>& candidates) const {
    std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        return a.severity != b.severity ? a.severity > b.severity
                                        : a.subject->target.identity.name < b.subject->target.identity.name;
    });
    std::vector<floor_status> floors = floor_statuses();
    for (candidate& item : candidates) {
        const double capacity = full_capacity(*item.subject);
        const auto cost = [&](const floor_status& floor) {
            return in_zone(floor.rule, item.subject->target) ? capacity : 0.0;
        };
        item.removable = std::all_of(floors.begin(), floors.end(), [&](const floor_status& floor) {
            return floor.in_service - cost(floor) >= floor.required - rounding;
        });
        for (floor_status& floor : floors) {
            floor.in_service -= item.removable ? cost(floor) : 0.0;
        }
    }
}

void ejector::advance_states(decisions& out) {
    for (auto& [name, subject] : entries_) {
        subject.evidence.on_tick(clock_.now());
        if (subject.target.lifecycle != target_lifecycle::ready) {
            continue;
        }
        const target_state before = subject.states.state();
        const double share_before = subject.states.share();
        const combined_badness badness = badness_of(subject);
        // Old evidence must have aged before the trial, or it would count as a relapse.
        const bool passing =
            badness.total < (before == target_state::ejected ? eject_at : trial_passes_below);
        subject.states.on_tick(passing);
        const target_state after = subject.states.state();
        if (after == before && subject.states.share() == share_before) {
            continue;
        }
        if (after == target_state::trial) {
            record(out, ejector_action::trial, subject, badness,
                   absl::StrFormat("trial at %g%% of its share", subject.states.share() * 100));
        } else {
            record(out, ejector_action::recover, subject, badness,
                   before == target_state::warming ? "warm-up is over" : "trial is over");
        }
    }
}

bool ejector::settled() const {
    return node_paths_.empty() && std::all_of(entries_.begin(), entries_.end(), [](const auto& item) {
               const entry& subject = item.second;
               return subject.target.lifecycle != target_lifecycle::ready ||
                      (subject.states.state() == target_state::healthy && subject.evidence.quiet());
           });
}

void ejector::evaluate(decisions& out) {
    std::vector<candidate> candidates;
    for (auto& [name, subject] : entries_) {
        if (const auto found = as_candidate(subject)) {
            candidates.push_back(*found);
        } else {
            subject.refused = false;
        }
    }
    select_removable(candidates);
    for (const candidate& item : candidates) {
        apply(item, out);
    }
}

void ejector::apply(const candidate& chosen, decisions& out) {
    entry& subject = *chosen.subject;
    const bool out_now = is_out(subject.states.state(), subject.states.in_service());
    if (chosen.removable) {
        subject.refused = false;
        if (subject.states.state() != target_state::ejected && chosen.badness.total >= eject_at) {
            subject.states.eject();
            subject.frozen_severity = chosen.badness.total;
            record(out, ejector_action::eject, subject, chosen.badness, describe(chosen.badness));
        }
    } else if (out_now) {
        subject.states.readmit();
        record(out, ejector_action::readmit, subject, chosen.badness,
               "capacity in service would be below the floor");
    } else if (!subject.refused) {
        subject.refused = true;
        record(out, ejector_action::refuse, subject, chosen.badness,
               "the floor forbids it; " + describe(chosen.badness));
    }
}

void ejector::record(decisions& out, ejector_action action, const entry& subject,
                     const combined_badness& badness, std::string reason) {
    out.push_back({.action = action,
                   .target = subject.target.identity,
                   .share = subject.states.share(),
                   .badness = badness,
                   .reason = std::move(reason)});
    version_.fetch_add(1, std::memory_order_release);
}

// Only evidence that asks for a change is worth walking over all targets; the tick does the rest.
std::vector<ejector_decision> ejector::evaluate_if_needed(entry& subject) {
    decisions out;
    active_ = active_ || !subject.evidence.quiet();
    const bool asks = badness_of(subject).total >= eject_at;
    if (asks && !subject.refused && subject.states.state() != target_state::ejected) {
        evaluate(out);
    }
    return out;
}

}  // namespace teaselpitch
