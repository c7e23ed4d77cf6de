#include "servers/routing/target_evidence.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <map>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds fresh_time{2'000};  // Gossip repeats verdicts every second.
constexpr std::chrono::milliseconds half_life{2'000};
constexpr std::chrono::milliseconds path_proof_time{1'000};
constexpr double zones_to_eject =
    2.0;  // Hints from a single zone never eject, because that zone may be partitioned.
constexpr double negligible_score = 0.01;
constexpr double quiet_gate_threshold = 0.5;  // A gate verdict below it cannot lead to an ejection.
constexpr std::size_t max_hints = 32;

}  // namespace

double target_evidence::aged_value::value_at(steady_time now) const {
    const auto stale = now - updated_at - fresh_time;
    if (outlier_score <= 0 || stale <= 0ns) {
        return outlier_score;
    }
    return outlier_score * std::exp2(-std::chrono::duration<double>(stale) / half_life);
}

void target_evidence::set_gate_verdict(steady_time now, double outlier_score, bool from_answer) {
    gate_ = {outlier_score, now};
    if (from_answer) {
        answered_at_ = now;
    }
}

void target_evidence::set_path_evidence(steady_time now, double outlier_score) {
    path_ = {outlier_score, now};
}

void target_evidence::set_hint(steady_time now, std::string_view node, std::string_view zone,
                               double outlier_score) {
    std::erase_if(hints_,
                  [&](const hint& known) { return known.node == node || known.value.value_at(now) < 0.01; });
    if (outlier_score > 0 && hints_.size() < max_hints) {
        hints_.push_back({std::string(node), std::string(zone), {outlier_score, now}});
    }
}

combined_outlier_score target_evidence::combine(steady_time now, double node_path) const {
    combined_outlier_score result{.gate = gate_.value_at(now),
                                  .path = std::max(path_.value_at(now), node_path)};
    std::map<std::string_view, double> max_score_by_zone;
    for (const hint& known : hints_) {
        double& worst = max_score_by_zone[known.zone];
        worst = std::max(worst, std::min(known.value.value_at(now), 1.0));
    }
    for (const auto& [zone, outlier_score] : max_score_by_zone) {
        result.hints += outlier_score / zones_to_eject;
        result.agreeing_zones += outlier_score >= 1.0 ? 1 : 0;
    }
    // An answer proves that this node's path works, so it overrides hints about the paths of other nodes.
    const bool path_is_proven = answered_at_ != steady_time{} && now - answered_at_ < path_proof_time;
    if (path_is_proven) {
        result.hints = 0;
    }
    // Hints concern paths and add to path evidence only; they do not confirm a gate's verdict.
    result.total = std::max(result.gate, result.path + result.hints);
    return result;
}

void target_evidence::on_tick(steady_time now) {
    std::erase_if(hints_, [now](const hint& known) { return known.value.value_at(now) < negligible_score; });
}

bool target_evidence::is_quiet() const {
    return gate_.outlier_score < quiet_gate_threshold && path_.outlier_score <= 0 && hints_.empty();
}

}  // namespace teaselpitch
