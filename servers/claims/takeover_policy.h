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
    std::chrono::milliseconds first_delay{2'000};      ///< Until views agree on the nodes of a new service.
    std::chrono::milliseconds holder_dead_for{1'000};  ///< Added to the suspicion time of the membership.
    /// Time between candidates, so that the second one appends only when the first one did not.
    std::chrono::milliseconds candidate_stagger{2'000};
    std::chrono::milliseconds candidate_dead_for{10'000};  ///< A restart takes less.
    std::chrono::milliseconds retry_after{3'000};          ///< Between two proposals for one slot.
};

enum class slot_change_kind : std::uint8_t {
    first,      ///< Append the first assignment.
    take_over,  ///< Append, if lease_promises::begin_append() allows it.
    renew,      ///< Append the own assignment with other candidates, after slot_holder::on_own_append().
    hand_over,  ///< Give the claims to the successor, which appends.
};

/// A change of one slot that this node should start now.
struct slot_change {
    slot_change_kind kind = slot_change_kind::first;
    slot_assignment next;     ///< To append as it is; for hand_over the successor appends it.
    node_identity successor;  ///< Set for hand_over.
};

/// Proposes when this node should change slots. It only makes good choices likely; a wrong choice costs
/// time, because the log and the promises decide what takes effect. Used by the control thread only.
class takeover_policy {
public:
    takeover_policy(const time_source& clock, const takeover_options& options, node_identity self);

    /// The live nodes with a ready target of a service that this node serves or is a candidate for.
    void on_places(const std::string& service, std::vector<node_place> places);

    /// All nodes that the membership takes for alive.
    void on_alive_nodes(const std::vector<node_identity>& alive);

    /// Whether this node's last read of the log succeeded. Without the log no change is proposed: it could
    /// not take effect, and a hand-over would stop the slot until the log is back.
    void set_log_reachable(bool reachable);

    /// The node stops: its slots go to successors and it takes over none.
    void set_draining();

    /// The changes to start now, given the assignments that were read; call it about once a second.
    std::vector<slot_change> on_tick(const slot_map& slots);

private:
    struct service_record {
        std::vector<node_place> places;
        steady_time known_since{};
    };

    [[nodiscard]] bool is_dead_for(const node_identity& node, std::chrono::milliseconds time) const;
    [[nodiscard]] bool is_place(const service_record& service, const node_identity& node) const;

    void note_dead(const node_identity& node, steady_time now);
    std::optional<slot_change> change_of(const slot_id& slot, const slot_assignment* current,
                                         const service_record& service) const;
    std::optional<slot_change> first_change(const slot_id& slot, const service_record& service) const;
    std::optional<slot_change> holder_change(const slot_assignment& current,
                                             const service_record& service) const;
    std::optional<slot_change> candidate_change(const slot_assignment& current,
                                                const service_record& service) const;
    std::optional<slot_change> hand_over(const slot_assignment& current, const service_record& service) const;

    const time_source& clock_;
    const takeover_options options_;
    const node_identity self_;
    bool draining_ = false;
    bool log_reachable_ = true;
    absl::flat_hash_map<std::string, service_record> services_;
    absl::flat_hash_set<std::string> alive_;  ///< Node name and incarnation as text.
    absl::flat_hash_map<std::string, steady_time> dead_since_;
    absl::flat_hash_map<slot_id, steady_time> proposed_at_;
};

}  // namespace teaselpitch
