#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "servers/claims/slot_map.h"

namespace teaselpitch {

struct takeover_options {
    std::chrono::milliseconds first_assignment_delay{
        2'000};  ///< Time until all nodes agree on the nodes of a new service.
    std::chrono::milliseconds holder_dead_for{
        1'000};  ///< In addition to the suspicion time of the membership.
    /// Delay between candidates, so that the second one appends only if the first one did not.
    std::chrono::milliseconds candidate_stagger{2'000};
    std::chrono::milliseconds candidate_dead_for{10'000};  ///< Longer than a restart.
    std::chrono::milliseconds proposal_interval{3'000};    ///< Minimum time between two proposals for a slot.
};

enum class slot_change_kind : std::uint8_t {
    first,      ///< Append the first assignment.
    take_over,  ///< Append, if lease_promises::begin_append() succeeds.
    renew,      ///< Append the own assignment with new candidates, after slot_holder::begin_own_append().
    hand_over,  ///< Transfer the claims to the successor, which appends.
};

/// A change of one slot assignment that this node should start now.
struct slot_change {
    slot_change_kind kind = slot_change_kind::first;
    slot_assignment next;     ///< Assignment to append; for hand_over it is appended by the successor.
    node_identity successor;  ///< Set for hand_over.
};

/// Proposes slot changes that this node should start. The proposals are heuristic: a wrong one only costs
/// time, because the log and the promises decide what takes effect. Used by the control thread only.
class takeover_policy {
public:
    takeover_policy(const time_source& clock, const takeover_options& options, node_identity self);

    /// Sets the alive nodes with a ready target of a service that this node serves or is a candidate for.
    void on_eligible_nodes(const std::string& service, std::vector<eligible_node> eligible_nodes);

    /// Sets all nodes that the membership considers alive.
    void on_alive_nodes(const std::vector<node_identity>& alive);

    /// Sets whether this node's last read of the log succeeded. While the log is unreachable no change is
    /// proposed: it could not take effect, and a hand-over would block the slot until the log is reachable
    /// again.
    void set_log_reachable(bool reachable);

    /// Starts to hand over the slots of this node, which takes over no more slots, because it is stopping.
    void set_draining();

    /// Returns the changes to start now, given the assignments that were read. Must be called about once a
    /// second.
    std::vector<slot_change> on_tick(const slot_map& slots);

private:
    struct service_record {
        std::vector<eligible_node> eligible_nodes;
        steady_time first_seen_at{};
    };

    [[nodiscard]] bool has_been_dead_for(const node_identity& node, std::chrono::milliseconds time) const;
    [[nodiscard]] bool is_eligible(const service_record& service, const node_identity& node) const;

    void record_dead_node(const node_identity& node, steady_time now);
    std::optional<slot_change> propose_change(const slot_id& slot, const slot_assignment* current,
                                              const service_record& service) const;
    std::optional<slot_change> propose_first_assignment(const slot_id& slot,
                                                        const service_record& service) const;
    std::optional<slot_change> propose_holder_change(const slot_assignment& current,
                                                     const service_record& service) const;
    std::optional<slot_change> propose_takeover(const slot_assignment& current,
                                                const service_record& service) const;
    std::optional<slot_change> propose_hand_over(const slot_assignment& current,
                                                 const service_record& service) const;

    const time_source& clock_;
    const takeover_options options_;
    const node_identity self_;
    bool draining_ = false;
    bool log_reachable_ = true;
    absl::flat_hash_map<std::string, service_record> services_;
    absl::flat_hash_set<std::string> alive_;  ///< Node name and incarnation as formatted by format_node().
    absl::flat_hash_map<std::string, steady_time> dead_since_;
    absl::flat_hash_map<slot_id, steady_time> proposed_at_;
};

}  // namespace teaselpitch
