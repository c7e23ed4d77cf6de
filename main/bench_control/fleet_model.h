#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "core/clock.h"
#include "main/bench_control/measured_node.h"
#include "servers/membership/gossip_queue.h"
#include "servers/membership/version_reports.h"

namespace teaselpitch {

struct fleet_options {
    std::size_t nodes = 3200;
    std::size_t targets_per_node = 31;
    double replaced_per_day = 8100;  ///< At 3,200 nodes; scaled in proportion for other sizes.
    double failed_per_day = 120;     ///< At 3,200 nodes; scaled in proportion for other sizes.
    double versions_per_day = 6500;
    std::uint64_t seed = 1;
};

/// Models the rest of the fleet around one measured node: it probes the node, answers its probes and gossips
/// the changes of churn.
///
/// In the steady state, the gossip queues of all other nodes hold about the same facts. One queue with the
/// same limit on transmissions therefore models all of them: the measured node receives each fact as often as
/// a single node sends it.
class fleet_model {
public:
    fleet_model(manual_time_source& clock, fleet_options options);

    /// Applies the state of the whole fleet to a node.
    void apply_fleet_state(measured_node& node);

    /// Simulates the fleet, the measured node and an anti-entropy partner that holds the complete state.
    void run(measured_node& node, measured_node& partner, std::chrono::seconds duration);

private:
    void step(measured_node& node, measured_node& partner);
    void run_local_work(measured_node& node);
    void simulate_churn(measured_node& partner);
    void replace_node(std::size_t index, bool failed, measured_node& partner);
    void replace_target(std::size_t node, std::size_t target, bool failed, measured_node& partner);
    void gossip_fact(const wire::Fact& fact, bool urgent, measured_node& partner);
    void report_versions();
    void deliver(measured_node& node, wire::Datagram message);
    void handle_output(measured_node& node, const membership_output& output, measured_node& partner);
    void run_anti_entropy(measured_node& from, measured_node& to, measured_node& counted);
    /// Draws whether an event with this daily rate occurs in the current tick.
    bool draw_event(double per_day);
    [[nodiscard]] wire::Fact node_fact(std::size_t index, wire::NodeFact::State state) const;
    [[nodiscard]] wire::Fact target_fact(std::size_t node, std::size_t target, wire::TargetFact::State state);

    manual_time_source& clock_;
    fleet_options options_;
    std::mt19937_64 random_;
    gossip_queue gossip_queue_;
    version_reports version_reports_;
    std::vector<std::uint64_t> node_incarnations_;
    std::vector<std::uint64_t> target_incarnations_;
    std::uint64_t sequence_ = 1;
    std::uint64_t ticks_ = 0;
    std::uint64_t version_ = 1;
    std::size_t reported_nodes_ = 0;
    std::size_t remaining_pushes_ = 0;
};

}  // namespace teaselpitch
