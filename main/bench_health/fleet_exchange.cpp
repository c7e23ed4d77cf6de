#include <utility>

#include "main/bench_health/fleet.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds push_period{100};   // Of a suspicious gate's summaries.
constexpr std::chrono::milliseconds gossip_delay{200};  // Of a crash report.
constexpr std::size_t most_notes = 5;

}  // namespace

load_report fleet::report_of(std::size_t target) const {
    const gate& own = gates_[target];
    load_report report{.target = registered_[target].identity.name,
                       .slots = options_.slots,
                       .running = static_cast<std::uint32_t>(own.running.size()),
                       .queued = static_cast<std::uint32_t>(own.waiting.size()),
                       .outlier_score = own.judge->outlier_score()};
    return report;
}

void fleet::tick_gate(std::size_t target) {
    gate& own = gates_[target];
    own.judge->on_tick();
    if (own.judge->is_suspicious() && clock_.now() - own.pushed_at >= push_period) {
        push_summary(target);
        // A gate that receives a suspicious summary answers with its own.
        for (std::size_t other = 0; other < gates_.size(); ++other) {
            if (other != target && faults_.delivers(zone_of(target), zone_of(other))) {
                events_.after(delay(target, other), [this, other, target] { send_summary(other, target); });
            }
        }
    }
    announce_verdict(target);
    start_waiting(target);
}

void fleet::push_summary(std::size_t target) {
    gates_[target].pushed_at = clock_.now();
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        send_summary(target, to);
    }
}

void fleet::send_summary(std::size_t target, std::size_t to) {
    if (!faults_.delivers(zone_of(target), nodes_[to].zone)) {
        return;
    }
    gate& own = gates_[target];
    const std::vector<target_summary> summaries{own.judge->summary()};
    events_.after(delay(target, to), [this, target, to, sequence = ++own.sequence, summaries] {
        nodes_[to].digest->on_summaries(nodes_[target].name, sequence, summaries);
        gates_[to].judge->on_baseline(nodes_[to].digest->baseline_excluding(registered_[to].identity.name));
    });
}

void fleet::push_verdict(std::size_t target) {
    const double badness = gates_[target].judge->outlier_score();
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        tell_verdict(target, to, badness);
    }
}

void fleet::announce_verdict(std::size_t target) {
    const double badness = gates_[target].judge->outlier_score();
    for (const std::string& name : gates_[target].announcer->on_outlier_score(badness)) {
        tell_verdict(target, std::stoul(name.substr(1)), badness);
    }
}

void fleet::tell_verdict(std::size_t target, std::size_t to, double badness) {
    if (!faults_.delivers(zone_of(target), nodes_[to].zone)) {
        return;
    }
    events_.after(delay(target, to), [this, target, to, badness] {
        take(to, nodes_[to].views->on_gate_verdict(registered_[target].identity.name, badness, to == target));
    });
}

void fleet::push_hints(std::size_t from) {
    for (const path_evidence& suspect : nodes_[from].paths->suspect_nodes()) {
        const std::size_t target = std::stoul(suspect.name.substr(1));
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            if (to != from && faults_.delivers(nodes_[from].zone, nodes_[to].zone)) {
                take(to, nodes_[to].views->on_hint(registered_[target].identity.name, nodes_[from].name,
                                                   registered_[from].zone, suspect.outlier_score));
            }
        }
    }
}

void fleet::tick_node(std::size_t index) {
    node& own = nodes_[index];
    own.digest->on_tick();
    own.paths->on_tick();
    own.quarantine->on_tick();
    for (const path_evidence& suspect : own.paths->suspect_nodes()) {
        take(index, own.views->on_node_path_evidence(suspect.name, suspect.outlier_score));
    }
    take(index, own.views->on_tick());
}

void fleet::take(std::size_t index, const std::vector<ejector_decision>& decisions) {
    for (const ejector_decision& decision : decisions) {
        if (decision.action != ejector_action::eject) {
            continue;
        }
        ++result_.ejections;
        const std::size_t target = std::stoul(decision.target.name.substr(1));
        if (!cut_off(index, target)) {
            ++result_.false_ejections;
            if (result_.notes.size() < most_notes) {
                const auto at = std::chrono::duration<double>(clock_.now() - faults_.starts_at()).count();
                result_.notes.push_back(nodes_[index].name + " ejects " + decision.target.name + " at " +
                                        std::to_string(at) + " s: " + decision.reason);
            }
        }
    }
    apply_shares(index);
}

// Gives the ejector's shares to the chooser when they have changed.
void fleet::apply_shares(std::size_t index) {
    node& own = nodes_[index];
    if (own.applied_version == own.views->version()) {
        return;
    }
    own.applied_version = own.views->version();
    std::vector<target_candidate> targets;
    const std::vector<target_share> shares = own.views->shares();
    for (std::size_t i = 0; i < shares.size(); ++i) {
        targets.push_back({.identity = registered_[i].identity,
                           .node = registered_[i].node,
                           .zone = registered_[i].zone,
                           .slots = registered_[i].slots,
                           .share = shares[i].share,
                           .outlier_score = shares[i].outlier_score,
                           .ready_since = registered_[i].ready_since});
    }
    own.chooser->update(targets, {});
}

void fleet::report_crash(std::size_t from, const crash_report& crash) {
    nodes_[from].quarantine->on_crash(crash);
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (to != from) {
            events_.after(gossip_delay,
                          [this, to, crash] { nodes_[to].quarantine->on_crash(crash, gossip_delay); });
        }
    }
}

// Says whether the fault justifies that the node ejects the target.
bool fleet::cut_off(std::size_t index, std::size_t target) const {
    if (!faults_.active()) {
        return false;
    }
    const bool path_broken =
        index != target && !faults_.connects(nodes_[index].zone, target, zone_of(target));
    switch (options_.fault) {
        case fault_kind::partially_reachable:
        case fault_kind::one_way_partition:
            return path_broken;
        case fault_kind::none:
        case fault_kind::all_slower_3:
        case fault_kind::all_slower_10:
        case fault_kind::all_half_failing:
        case fault_kind::all_hanging:
        case fault_kind::crashing_request:
            return false;
        default:
            return target == fault_model::faulty_target;
    }
}

std::chrono::nanoseconds fleet::delay(std::size_t from, std::size_t to) const {
    if (from == to) {
        return 20us;
    }
    return zone_of(from) == zone_of(to) ? std::chrono::nanoseconds(100us) : std::chrono::nanoseconds(1'500us);
}

}  // namespace teaselpitch
