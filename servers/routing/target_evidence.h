#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace teaselpitch {

/// Combined evidence about one target in one node's view, as outlier scores.
struct combined_outlier_score {
    double total = 0;             ///< 0 is healthy; 1 or more triggers ejection.
    double gate = 0;              ///< Verdict of the target's own gate.
    double path = 0;              ///< This node's evidence about its path to the target.
    double hints = 0;             ///< Contribution of other nodes' path evidence.
    unsigned agreeing_zones = 0;  ///< Availability zones whose hints trigger ejection.
};

/// Evidence of one node about one target: the verdict of the target's gate, the node's own path evidence and
/// hints from other nodes. The evidence decays when it is not renewed.
class target_evidence {
public:
    /// Sets the verdict of the target's gate. `from_answer` is true when the verdict arrived with an answer
    /// to this node, which also proves that the path works.
    void set_gate_verdict(steady_time now, double outlier_score, bool from_answer);
    /// Sets this node's path evidence.
    void set_path_evidence(steady_time now, double outlier_score);
    /// Sets the path evidence of another node.
    void set_hint(steady_time now, std::string_view node, std::string_view zone, double outlier_score);

    /// Returns the combined evidence at `now`. `node_path` is the outlier score of the path to the target's
    /// node.
    [[nodiscard]] combined_outlier_score combine(steady_time now, double node_path) const;
    /// Removes hints that have decayed to a negligible score.
    void on_tick(steady_time now);
    /// Returns true when no evidence could lead to an ejection later.
    [[nodiscard]] bool is_quiet() const;

private:
    struct aged_value {
        double outlier_score = 0;
        steady_time updated_at{};

        [[nodiscard]] double value_at(steady_time now) const;
    };
    struct hint {
        std::string node;
        std::string zone;
        aged_value value;
    };

    aged_value gate_;
    aged_value path_;
    steady_time answered_at_;
    std::vector<hint> hints_;
};

}  // namespace teaselpitch
