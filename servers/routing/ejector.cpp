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

constexpr double ejection_threshold = 1.0;
constexpr double trial_pass_threshold = 0.5;
// Severities are compared in steps of this size, so that small differences between the verdicts that the
// nodes have received do not make them eject different targets.
constexpr double severity_step = 0.5;
constexpr double floor_tolerance = 1e-9;
constexpr std::chrono::seconds node_path_evidence_lifetime{
    4};  // The path fault detector reports its evidence every second.

double round_severity(double outlier_score) {
    return std::floor(outlier_score / severity_step) * severity_step;
}

bool is_out_of_service(target_state state, bool in_service) {
    return state == target_state::ejected || (state == target_state::trial && !in_service);
}

bool covers_target(const floor_rule& rule, const registered_target& target) {
    return rule.zone.empty() || rule.zone == target.zone;
}

std::string describe(const combined_outlier_score& outlier_score) {
    return absl::StrFormat("outlier score (badness) %.2f (gate %.2f, path %.2f, hints %.2f from %u zones)",
                           outlier_score.total, outlier_score.gate, outlier_score.path, outlier_score.hints,
                           outlier_score.agreeing_zones);
}

}  // namespace

std::string_view to_string(ejector_action action) {
    constexpr std::array<std::string_view, 5> names{"eject", "readmit", "trial", "recover", "refuse"};
    return names[static_cast<std::size_t>(action)];
}

ejector::ejector(const time_source& clock, ejector_options options)
    : clock_(clock), options_(std::move(options)) {}

std::vector<ejector_decision> ejector::replace_targets(std::span<const registered_target> targets) {
    const std::lock_guard lock(mutex_);
    std::set<std::string_view> listed_names;
    for (const registered_target& target : targets) {
        listed_names.insert(target.identity.name);
        update_entry(target);
    }
    std::erase_if(entries_, [&](const auto& item) { return !listed_names.contains(item.first); });
    version_.fetch_add(1, std::memory_order_release);
    needs_tick_ = true;
    decisions out;
    evaluate_ejections(out);
    return out;
}

std::vector<ejector_decision> ejector::on_gate_verdict(std::string_view target, double outlier_score,
                                                       bool from_answer) {
    const std::lock_guard lock(mutex_);
    entry* target_entry = find_entry(target);
    if (target_entry == nullptr) {
        return {};
    }
    target_entry->evidence.set_gate_verdict(clock_.now(), outlier_score, from_answer);
    return evaluate_ejections_if_needed(*target_entry);
}

std::vector<ejector_decision> ejector::on_path_evidence(std::string_view target, double outlier_score) {
    const std::lock_guard lock(mutex_);
    entry* target_entry = find_entry(target);
    if (target_entry == nullptr) {
        return {};
    }
    target_entry->evidence.set_path_evidence(clock_.now(), outlier_score);
    return evaluate_ejections_if_needed(*target_entry);
}

std::vector<ejector_decision> ejector::on_node_path_evidence(std::string_view node, double outlier_score) {
    const std::lock_guard lock(mutex_);
    decisions out;
    if (outlier_score <= 0) {
        node_paths_.erase(std::string(node));
        return out;
    }
    needs_tick_ = true;
    node_paths_[std::string(node)] = {outlier_score, clock_.now()};
    if (outlier_score >= ejection_threshold) {
        evaluate_ejections(out);
    }
    return out;
}

std::vector<ejector_decision> ejector::on_hint(std::string_view target, std::string_view origin_node,
                                               std::string_view origin_zone, double outlier_score) {
    const std::lock_guard lock(mutex_);
    entry* target_entry = find_entry(target);
    if (target_entry == nullptr) {
        return {};
    }
    target_entry->evidence.set_hint(clock_.now(), origin_node, origin_zone, outlier_score);
    return evaluate_ejections_if_needed(*target_entry);
}

std::vector<ejector_decision> ejector::replace_floors(std::vector<floor_rule> floors) {
    const std::lock_guard lock(mutex_);
    needs_tick_ = true;
    options_.floors = std::move(floors);
    decisions out;
    evaluate_ejections(out);
    return out;
}

std::vector<ejector_decision> ejector::on_tick() {
    const std::lock_guard lock(mutex_);
    decisions out;
    if (!needs_tick_) {
        return out;
    }
    std::erase_if(node_paths_, [now = clock_.now()](const auto& item) {
        return now - item.second.updated_at > node_path_evidence_lifetime;
    });
    advance_states(out);
    evaluate_ejections(out);
    needs_tick_ = !is_settled();
    return out;
}

std::vector<target_share> ejector::shares() const {
    const std::lock_guard lock(mutex_);
    std::vector<target_share> result;
    result.reserve(entries_.size());
    for (const auto& [name, target_entry] : entries_) {
        const bool accepts_requests = target_entry.target.lifecycle == target_lifecycle::ready;
        result.push_back({.target = target_entry.target.identity,
                          .state = target_entry.states.state(),
                          .share = accepts_requests ? target_entry.states.share() : 0.0,
                          .outlier_score = outlier_score_of(target_entry).total});
    }
    return result;
}

std::vector<floor_status> ejector::floors() const {
    const std::lock_guard lock(mutex_);
    std::vector<floor_status> result = floors_without_ejections();
    for (floor_status& status : result) {
        for (const auto& [name, target_entry] : entries_) {
            const bool out = is_out_of_service(target_entry.states.state(), target_entry.states.in_service());
            status.in_service -= out && covers_target(status.rule, target_entry.target)
                                     ? capacity_unless_ejected(target_entry)
                                     : 0.0;
        }
    }
    return result;
}

std::optional<combined_outlier_score> ejector::evidence(std::string_view target) const {
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(target);
    if (found == entries_.end()) {
        return std::nullopt;
    }
    return outlier_score_of(found->second);
}

ejector::entry* ejector::find_entry(std::string_view target) {
    const auto found = entries_.find(target);
    return found == entries_.end() ? nullptr : &found->second;
}

target_state_machine ejector::make_state_machine(const registered_target& target) const {
    const bool ready = target.lifecycle == target_lifecycle::ready;
    return {clock_, options_.states, ready ? target.ready_since : clock_.now()};
}

void ejector::update_entry(const registered_target& target) {
    entry* known = find_entry(target.identity.name);
    const bool needs_new_entry = known == nullptr || known->target.identity != target.identity ||
                                 (known->target.lifecycle == target_lifecycle::starting &&
                                  target.lifecycle == target_lifecycle::ready);
    if (needs_new_entry) {
        entries_.insert_or_assign(
            target.identity.name,
            entry{.target = target, .states = make_state_machine(target), .evidence = {}});
        known = find_entry(target.identity.name);
    }
    known->target = target;
    if (target.lifecycle == target_lifecycle::leaving) {
        known->states.leave();
    }
}

double ejector::node_path_outlier_score(const entry& target_entry) const {
    const auto found = node_paths_.find(target_entry.target.node);
    return found == node_paths_.end() ? 0.0 : found->second.outlier_score;
}

combined_outlier_score ejector::outlier_score_of(const entry& target_entry) const {
    return target_entry.evidence.combine(clock_.now(), node_path_outlier_score(target_entry));
}

// Capacity in service that the target provides when it is not ejected. It is 0 while the target starts, warms
// up or leaves.
double ejector::capacity_unless_ejected(const entry& target_entry) const {
    const registered_target& target = target_entry.target;
    const bool warm = clock_.now() - target.ready_since >= options_.states.warm_up;
    const bool is_serving = target.lifecycle == target_lifecycle::ready && warm &&
                            target_entry.states.state() != target_state::leaving;
    return is_serving ? target.slots * target.weight : 0.0;
}

// Returns the floors with the capacity that would be in service if no target were ejected.
std::vector<floor_status> ejector::floors_without_ejections() const {
    std::vector<floor_status> result;
    for (const floor_rule& rule : options_.floors) {
        floor_status status{.rule = rule};
        for (const auto& [name, target_entry] : entries_) {
            if (covers_target(rule, target_entry.target)) {
                status.registered += target_entry.target.slots * target_entry.target.weight;
                status.in_service += capacity_unless_ejected(target_entry);
            }
        }
        status.required = std::max(rule.capacity, rule.share * status.registered);
        result.push_back(std::move(status));
    }
    return result;
}

std::optional<ejector::candidate> ejector::make_candidate(entry& target_entry) {
    const target_state state = target_entry.states.state();
    if (target_entry.target.lifecycle != target_lifecycle::ready || state == target_state::leaving) {
        return std::nullopt;
    }
    candidate result{.target_entry = &target_entry, .outlier_score = outlier_score_of(target_entry)};
    double severity = result.outlier_score.total;
    if (state == target_state::ejected) {
        // Evidence decays without traffic, so the severity at the ejection applies until a trial shows
        // otherwise.
        target_entry.severity_at_ejection = std::max(target_entry.severity_at_ejection, severity);
        severity = target_entry.severity_at_ejection;
    } else if (state == target_state::trial && !target_entry.states.in_service()) {
        severity = std::max(
            severity, target_entry.severity_at_ejection * (1.0 - std::sqrt(target_entry.states.share())));
    } else if (severity < ejection_threshold) {
        return std::nullopt;
    }
    result.severity = round_severity(severity);
    return result;
}

// Visits the candidates in descending severity and marks each one whose ejection all floors allow.
void ejector::mark_ejectable(std::vector<candidate>& candidates) const {
    std::sort(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) {
        return a.severity != b.severity
                   ? a.severity > b.severity
                   : a.target_entry->target.identity.name < b.target_entry->target.identity.name;
    });
    std::vector<floor_status> floors = floors_without_ejections();
    for (candidate& item : candidates) {
        const double capacity = capacity_unless_ejected(*item.target_entry);
        const auto cost = [&](const floor_status& floor) {
            return covers_target(floor.rule, item.target_entry->target) ? capacity : 0.0;
        };
        item.ejectable = std::all_of(floors.begin(), floors.end(), [&](const floor_status& floor) {
            return floor.in_service - cost(floor) >= floor.required - floor_tolerance;
        });
        for (floor_status& floor : floors) {
            floor.in_service -= item.ejectable ? cost(floor) : 0.0;
        }
    }
}

void ejector::advance_states(decisions& out) {
    for (auto& [name, target_entry] : entries_) {
        target_entry.evidence.on_tick(clock_.now());
        if (target_entry.target.lifecycle != target_lifecycle::ready) {
            continue;
        }
        const target_state before = target_entry.states.state();
        const double share_before = target_entry.states.share();
        const combined_outlier_score outlier_score = outlier_score_of(target_entry);
        // Evidence from before the ejection must have decayed before a trial starts; otherwise it would count
        // as a relapse.
        const bool trial_passing =
            outlier_score.total <
            (before == target_state::ejected ? ejection_threshold : trial_pass_threshold);
        target_entry.states.on_tick(trial_passing);
        const target_state after = target_entry.states.state();
        if (after == before && target_entry.states.share() == share_before) {
            continue;
        }
        if (after == target_state::trial) {
            add_decision(
                out, ejector_action::trial, target_entry, outlier_score,
                absl::StrFormat("trial at %g%% of the fair share", target_entry.states.share() * 100));
        } else {
            add_decision(out, ejector_action::recover, target_entry, outlier_score,
                         before == target_state::warming ? "warm-up is over" : "trial is over");
        }
    }
}

bool ejector::is_settled() const {
    return node_paths_.empty() && std::all_of(entries_.begin(), entries_.end(), [](const auto& item) {
               const entry& target_entry = item.second;
               return target_entry.target.lifecycle != target_lifecycle::ready ||
                      (target_entry.states.state() == target_state::healthy &&
                       target_entry.evidence.is_quiet());
           });
}

void ejector::evaluate_ejections(decisions& out) {
    std::vector<candidate> candidates;
    for (auto& [name, target_entry] : entries_) {
        if (const auto found = make_candidate(target_entry)) {
            candidates.push_back(*found);
        } else {
            target_entry.ejection_refused = false;
        }
    }
    mark_ejectable(candidates);
    for (const candidate& item : candidates) {
        apply(item, out);
    }
}

void ejector::apply(const candidate& chosen, decisions& out) {
    entry& target_entry = *chosen.target_entry;
    const bool out_of_service =
        is_out_of_service(target_entry.states.state(), target_entry.states.in_service());
    if (chosen.ejectable) {
        target_entry.ejection_refused = false;
        if (target_entry.states.state() != target_state::ejected &&
            chosen.outlier_score.total >= ejection_threshold) {
            target_entry.states.eject();
            target_entry.severity_at_ejection = chosen.outlier_score.total;
            add_decision(out, ejector_action::eject, target_entry, chosen.outlier_score,
                         describe(chosen.outlier_score));
        }
    } else if (out_of_service) {
        target_entry.states.readmit();
        add_decision(out, ejector_action::readmit, target_entry, chosen.outlier_score,
                     "the capacity in service would fall below the floor");
    } else if (!target_entry.ejection_refused) {
        target_entry.ejection_refused = true;
        add_decision(out, ejector_action::refuse, target_entry, chosen.outlier_score,
                     "ejection would reduce the capacity in service below the floor; " +
                         describe(chosen.outlier_score));
    }
}

void ejector::add_decision(decisions& out, ejector_action action, const entry& target_entry,
                           const combined_outlier_score& outlier_score, std::string reason) {
    out.push_back({.action = action,
                   .target = target_entry.target.identity,
                   .share = target_entry.states.share(),
                   .outlier_score = outlier_score,
                   .reason = std::move(reason)});
    version_.fetch_add(1, std::memory_order_release);
}

// Visits all targets only when the new evidence triggers an ejection; on_tick() handles all other changes.
std::vector<ejector_decision> ejector::evaluate_ejections_if_needed(entry& target_entry) {
    decisions out;
    needs_tick_ = needs_tick_ || !target_entry.evidence.is_quiet();
    const bool triggers_ejection = outlier_score_of(target_entry).total >= ejection_threshold;
    if (triggers_ejection && !target_entry.ejection_refused &&
        target_entry.states.state() != target_state::ejected) {
        evaluate_ejections(out);
    }
    return out;
}

}  // namespace teaselpitch
