#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/identity.h"
#include "core/wire/table.pb.h"
#include "servers/claims/slot_id.h"

namespace teaselpitch {

/// Assigns one slot to the node that runs its keyed requests; stored as a record on the log.
struct slot_assignment {
    slot_id slot{};
    std::uint64_t previous_epoch = 0;  ///< Epoch of the replaced assignment; 0 for none.
    std::uint64_t epoch = 0;           ///< Offset of the record on the log.
    node_identity holder{};
    std::vector<node_identity> candidates{};  ///< Only these nodes may take the slot over.
    bool planned = false;                     ///< The former holder handed its claims over to this one.
    bool reset = false;                       ///< Written by an operator; replaces any assignment.

    auto operator<=>(const slot_assignment&) const = default;
};

wire::SlotAssignment to_wire(const slot_assignment& assignment);
slot_assignment from_wire(const wire::SlotAssignment& message);
wire::NodeName to_wire(const node_identity& node);
node_identity from_wire(const wire::NodeName& message);

/// A node that may hold slots of a service: it is alive and serves a ready target of that service.
struct eligible_node {
    node_identity node;
    std::string availability_zone;
};

struct assignment_proposal {
    node_identity holder;
    std::vector<node_identity> candidates;  ///< At most two, outside the zone of the holder when possible.
};

/// Returns the slot of an idempotency key; the result is the same in every process and build.
std::uint32_t slot_of_key(std::string_view scoped_key);

/// Returns the key under which the ledger stores claims. The same key of two client accounts is two keys.
std::string scoped_key(std::string_view account, std::string_view key);

/// Returns the node that should append the first assignment of a slot, by rendezvous hashing, and its
/// candidates. The holder is empty when there are no nodes.
assignment_proposal propose_assignment(const slot_id& slot, std::span<const eligible_node> nodes);

/// Returns the candidates for the given holder, which is not one of them.
std::vector<node_identity> propose_candidates(const slot_id& slot, const node_identity& holder,
                                              std::span<const eligible_node> nodes);

/// The current slot assignments according to the records of the log. A value type without locking; copies can
/// be used on other threads.
class slot_map {
public:
    /// Applies one assignment of a SlotChange record if it is valid. Every reader applies the same rules to
    /// the same records, so all readers agree on the current assignment. An error explains why the record has
    /// no effect.
    absl::Status apply(const wire::SlotAssignment& message, const node_identity& appender, bool reset,
                       std::uint64_t offset);

    /// Merges the assignments of a snapshot; each replaces the current one of its slot when it is newer.
    void merge_newer(std::span<const slot_assignment> assignments);

    [[nodiscard]] const slot_assignment* find(const slot_id& slot) const;

    /// Returns all assignments, ordered by slot.
    [[nodiscard]] std::vector<slot_assignment> assignments() const;

private:
    [[nodiscard]] static absl::Status validate_fields(const slot_assignment& next);
    [[nodiscard]] absl::Status validate_succession(const slot_assignment& next,
                                                   const node_identity& appender) const;

    absl::flat_hash_map<slot_id, slot_assignment> assignments_;
};

}  // namespace teaselpitch
