#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"

namespace teaselpitch {

/// Combined evidence about one target in one node's view.
struct combined_badness {
    double total = 0;             ///< 0 is healthy; 1 or more asks for ejection.
    double gate = 0;              ///< Verdict of the target's own gate.
    double path = 0;              ///< This node's evidence about its path to the target.
    double hints = 0;             ///< Contribution of other nodes' path evidence.
    unsigned agreeing_zones = 0;  ///< Availability zones whose hints ask for ejection.
};

/// What one node knows about one target: its gate's verdict, the node's own path evidence and hints of
/// other nodes. All of it ages, so that evidence that is no longer renewed loses its effect.
class target_evidence {
public:
    /// Sets the verdict of the target's gate; `by_answer` when it rode on an answer to this node, which
    /// also proves that the path works.
    void set_gate(steady_time now, double badness, bool by_answer);
    /// Sets this node's path evidence.
    void set_path(steady_time now, double badness);
    /// Sets the path evidence of another node.
    void set_hint(steady_time now, std::string_view node, std::string_view zone, double badness);

    /// The combined evidence at a time. `node_path` is evidence about the path to the target's node.
    [[nodiscard]] combined_badness combined(steady_time now, double node_path) const;
    /// Forgets hints that have aged.
    void on_tick(steady_time now);
    /// True when nothing is known that could lead to an ejection as time passes.
    [[nodiscard]] bool quiet() const;

private:
    struct aged_value {
        double badness = 0;
        steady_time set_at{};

        [[nodiscard]] double at(steady_time now) const;
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
