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
    double replaced_per_day = 8100;  ///< At 3,200 nodes; other sizes in proportion.
    double failed_per_day = 120;     ///< At 3,200 nodes; other sizes in proportion.
    double versions_per_day = 6500;
    std::uint64_t seed = 1;
};

/// Everything outside one measured node: it probes the node, answers its probes and gossips the churn.
///
/// The queues of all other nodes hold about the same facts in the steady state. One gossip queue with the
/// same bound on transmissions therefore stands for all of them: the node gets each fact as often as one node
/// sends it.
class fleet_model {
public:
    fleet_model(manual_time_source& clock, fleet_options options);

    /// Fills a node with the state of the whole fleet.
    void fill(measured_node& node);

    /// Runs the fleet, the node and a partner for anti-entropy that has the whole state.
    void run(measured_node& node, measured_node& partner, std::chrono::seconds duration);

private:
    void step(measured_node& node, measured_node& partner);
    void own_work(measured_node& node);
    void churn(measured_node& partner);
    void replace_node(std::size_t index, bool failed, measured_node& partner);
    void replace_target(std::size_t node, std::size_t target, bool failed, measured_node& partner);
    void spread(const wire::Fact& fact, bool urgent, measured_node& partner);
    void report_versions();
    void deliver(measured_node& node, wire::Datagram message);
    void answer(measured_node& node, const membership_output& output, measured_node& partner);
    void exchange(measured_node& from, measured_node& to, measured_node& counted);
    bool happens(double per_day);
    [[nodiscard]] wire::Fact node_fact(std::size_t index, wire::NodeFact::State state) const;
    [[nodiscard]] wire::Fact target_fact(std::size_t node, std::size_t target, wire::TargetFact::State state);

    manual_time_source& clock_;
    fleet_options options_;
    std::mt19937_64 random_;
    gossip_queue queue_;
    version_reports versions_;
    std::vector<std::uint64_t> node_incarnations_;
    std::vector<std::uint64_t> target_incarnations_;
    std::uint64_t sequence_ = 1;
    std::uint64_t ticks_ = 0;
    std::uint64_t version_ = 1;
    std::size_t reported_ = 0;
    std::size_t pushes_ = 0;
};

}  // namespace teaselpitch
