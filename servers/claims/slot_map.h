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

/// Who runs the keyed requests of one slot, as one record on the log says.
struct slot_assignment {
    slot_id slot{};
    std::uint64_t previous_epoch = 0;  ///< Epoch of the assignment that this one replaces; 0 for none.
    std::uint64_t epoch = 0;           ///< Offset of the record.
    node_identity holder{};
    std::vector<node_identity> candidates{};  ///< The only nodes that may take the slot over.
    bool planned = false;                     ///< The former holder handed its claims to this one.
    bool reset = false;                       ///< By an operator; replaces any assignment.

    auto operator<=>(const slot_assignment&) const = default;
};

wire::SlotAssignment to_wire(const slot_assignment& assignment);
slot_assignment from_wire(const wire::SlotAssignment& message);
wire::NodeName to_wire(const node_identity& node);
node_identity from_wire(const wire::NodeName& message);

/// A node that can hold slots of a service: it is alive and guards a ready target of that service.
struct node_place {
    node_identity node;
    std::string availability_zone;
};

struct slot_proposal {
    node_identity holder;
    std::vector<node_identity>
        candidates;  ///< At most two, from other zones than the holder's when possible.
};

/// The slot of an idempotency key, the same in each process and build.
std::uint32_t slot_of_key(std::string_view scoped_key);

/// The key as the ledger knows it: two accounts that use the same key are two keys.
std::string scoped_key(std::string_view account, std::string_view key);

/// The node that should append the first assignment of a slot, by rendezvous hashing, and its candidates.
/// The holder is empty when there are no nodes.
slot_proposal propose_assignment(const slot_id& slot, std::span<const node_place> nodes);

/// Candidates for a holder that is given; the holder itself is left out.
std::vector<node_identity> propose_candidates(const slot_id& slot, const node_identity& holder,
                                              std::span<const node_place> nodes);

/// The current assignments by the records of the log. A value: copies can be shared between threads.
class slot_map {
public:
    /// Judges one assignment of a SlotChange record. Every reader applies the same rules to the same
    /// records, so all agree about the winner. An error says why the record has no effect.
    absl::Status apply(const wire::SlotAssignment& message, const node_identity& appender, bool reset,
                       std::uint64_t offset);

    /// Adopts the assignments of a snapshot that are newer than the known ones.
    void adopt(std::span<const slot_assignment> assignments);

    [[nodiscard]] const slot_assignment* find(const slot_id& slot) const;

    /// All assignments in the order of their slots, for a snapshot.
    [[nodiscard]] std::vector<slot_assignment> all() const;

private:
    [[nodiscard]] static absl::Status check_form(const slot_assignment& next);
    [[nodiscard]] absl::Status check_successor(const slot_assignment& next,
                                               const node_identity& appender) const;

    absl::flat_hash_map<slot_id, slot_assignment> assignments_;
};

}  // namespace teaselpitch
