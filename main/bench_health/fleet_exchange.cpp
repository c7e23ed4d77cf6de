#include <utility>

#include "main/bench_health/fleet.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

// Minimum interval between summaries of a suspicious gate.
constexpr std::chrono::milliseconds push_period{100};
constexpr std::chrono::milliseconds gossip_delay{200};  // Delay until other nodes receive a crash report.
constexpr std::size_t max_notes = 5;

}  // namespace

load_report fleet::make_load_report(std::size_t target) const {
    const gate& own = gates_[target];
    load_report report{.target = registered_targets_[target].identity.name,
                       .slots = options_.slots,
                       .running = static_cast<std::uint32_t>(own.running.size()),
                       .queued = static_cast<std::uint32_t>(own.waiting.size()),
                       .outlier_score = own.outlier_detector->outlier_score()};
    return report;
}

void fleet::tick_gate(std::size_t target) {
    gate& own = gates_[target];
    own.outlier_detector->on_tick();
    if (own.outlier_detector->is_suspicious() && clock_.now() - own.pushed_at >= push_period) {
        push_summary(target);
        // A gate that receives a summary from a suspicious gate replies with its own summary.
        for (std::size_t other = 0; other < gates_.size(); ++other) {
            if (other != target && faults_.delivers(zone_of(target), zone_of(other))) {
                events_.schedule_after(delay(target, other),
                                       [this, other, target] { send_summary(other, target); });
            }
        }
    }
    announce_verdict(target);
    start_waiting_calls(target);
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
    const std::vector<target_summary> summaries{own.outlier_detector->summary()};
    events_.schedule_after(delay(target, to), [this, target, to, sequence = ++own.sequence, summaries] {
        nodes_[to].digest->on_summaries(nodes_[target].name, sequence, summaries);
        gates_[to].outlier_detector->on_baseline(
            nodes_[to].digest->baseline_excluding(registered_targets_[to].identity.name));
    });
}

void fleet::push_verdict(std::size_t target) {
    const double outlier_score = gates_[target].outlier_detector->outlier_score();
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        send_verdict(target, to, outlier_score);
    }
}

void fleet::announce_verdict(std::size_t target) {
    const double outlier_score = gates_[target].outlier_detector->outlier_score();
    for (const std::string& name : gates_[target].announcer->on_outlier_score(outlier_score)) {
        send_verdict(target, std::stoul(name.substr(1)), outlier_score);
    }
}

void fleet::send_verdict(std::size_t target, std::size_t to, double outlier_score) {
    if (!faults_.delivers(zone_of(target), nodes_[to].zone)) {
        return;
    }
    events_.schedule_after(delay(target, to), [this, target, to, outlier_score] {
        apply_decisions(to, nodes_[to].target_ejector->on_gate_verdict(
                                registered_targets_[target].identity.name, outlier_score, to == target));
    });
}

void fleet::push_hints(std::size_t from) {
    for (const path_evidence& suspect : nodes_[from].paths->suspect_nodes()) {
        const std::size_t target = std::stoul(suspect.name.substr(1));
        for (std::size_t to = 0; to < nodes_.size(); ++to) {
            if (to != from && faults_.delivers(nodes_[from].zone, nodes_[to].zone)) {
                apply_decisions(to, nodes_[to].target_ejector->on_hint(
                                        registered_targets_[target].identity.name, nodes_[from].name,
                                        registered_targets_[from].zone, suspect.outlier_score));
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
        apply_decisions(index,
                        own.target_ejector->on_node_path_evidence(suspect.name, suspect.outlier_score));
    }
    apply_decisions(index, own.target_ejector->on_tick());
}

void fleet::apply_decisions(std::size_t index, const std::vector<ejector_decision>& decisions) {
    for (const ejector_decision& decision : decisions) {
        if (decision.action != ejector_action::eject) {
            continue;
        }
        ++result_.ejections;
        const std::size_t target = std::stoul(decision.target.name.substr(1));
        if (!is_ejection_justified(index, target)) {
            ++result_.false_ejections;
            if (result_.notes.size() < max_notes) {
                const auto at = std::chrono::duration<double>(clock_.now() - faults_.starts_at()).count();
                result_.notes.push_back(nodes_[index].name + " ejects " + decision.target.name + " at " +
                                        std::to_string(at) + " s: " + decision.reason);
            }
        }
    }
    apply_shares(index);
}

// Passes the shares of the ejector to the target chooser when they have changed.
void fleet::apply_shares(std::size_t index) {
    node& own = nodes_[index];
    if (own.applied_version == own.target_ejector->version()) {
        return;
    }
    own.applied_version = own.target_ejector->version();
    std::vector<target_candidate> targets;
    const std::vector<target_share> shares = own.target_ejector->shares();
    for (std::size_t i = 0; i < shares.size(); ++i) {
        targets.push_back({.identity = registered_targets_[i].identity,
                           .node = registered_targets_[i].node,
                           .zone = registered_targets_[i].zone,
                           .slots = registered_targets_[i].slots,
                           .share = shares[i].share,
                           .outlier_score = shares[i].outlier_score,
                           .ready_since = registered_targets_[i].ready_since});
    }
    own.chooser->update(targets, {});
}

void fleet::report_crash(std::size_t from, const crash_report& crash) {
    nodes_[from].quarantine->on_crash(crash);
    for (std::size_t to = 0; to < nodes_.size(); ++to) {
        if (to != from) {
            events_.schedule_after(
                gossip_delay, [this, to, crash] { nodes_[to].quarantine->on_crash(crash, gossip_delay); });
        }
    }
}

// Returns whether the injected fault makes an ejection of the target by this node correct.
bool fleet::is_ejection_justified(std::size_t index, std::size_t target) const {
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
        case fault_kind::all_three_times_slower:
        case fault_kind::all_ten_times_slower:
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
