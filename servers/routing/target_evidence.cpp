#include "servers/routing/target_evidence.h"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstddef>
#include <map>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds fresh_for{2'000};  // Gossip renews verdicts each second.
constexpr std::chrono::milliseconds half_life{2'000};
constexpr std::chrono::milliseconds answer_proves_for{1'000};
constexpr double zones_to_eject = 2.0;  // Hints of one zone alone never eject: that zone may be cut off.
constexpr double forgotten = 0.01;
constexpr double doubt = 0.5;  // A gate's verdict below it needs no attention.
constexpr std::size_t most_hints = 32;

}  // namespace

double target_evidence::aged_value::at(steady_time now) const {
    const auto stale = now - set_at - fresh_for;
    if (badness <= 0 || stale <= 0ns) {
        return badness;
    }
    return badness * std::exp2(-std::chrono::duration<double>(stale) / half_life);
}

void target_evidence::set_gate(steady_time now, double badness, bool by_answer) {
    gate_ = {badness, now};
    if (by_answer) {
        answered_at_ = now;
    }
}

void target_evidence::set_path(steady_time now, double badness) {
    path_ = {badness, now};
}

void target_evidence::set_hint(steady_time now, std::string_view node, std::string_view zone,
                               double badness) {
    std::erase_if(hints_,
                  [&](const hint& known) { return known.node == node || known.value.at(now) < 0.01; });
    if (badness > 0 && hints_.size() < most_hints) {
        hints_.push_back({std::string(node), std::string(zone), {badness, now}});
    }
}

combined_badness target_evidence::combined(steady_time now, double node_path) const {
    combined_badness result{.gate = gate_.at(now), .path = std::max(path_.at(now), node_path)};
    std::map<std::string_view, double> worst_by_zone;
    for (const hint& known : hints_) {
        double& worst = worst_by_zone[known.zone];
        worst = std::max(worst, std::min(known.value.at(now), 1.0));
    }
    for (const auto& [zone, badness] : worst_by_zone) {
        result.hints += badness / zones_to_eject;
        result.agreeing_zones += badness >= 1.0 ? 1 : 0;
    }
    // An answer proves the path, so it outweighs what others say about theirs.
    const bool answers_arrive = answered_at_ != steady_time{} && now - answered_at_ < answer_proves_for;
    if (answers_arrive) {
        result.hints = 0;
    }
    // Hints are about paths and add to path evidence only; they do not confirm a gate's verdict.
    result.total = std::max(result.gate, result.path + result.hints);
    return result;
}

void target_evidence::on_tick(steady_time now) {
    std::erase_if(hints_, [now](const hint& known) { return known.value.at(now) < forgotten; });
}

bool target_evidence::quiet() const {
    return gate_.badness < doubt && path_.badness <= 0 && hints_.empty();
}

}  // namespace teaselpitch
