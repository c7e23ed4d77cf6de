#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/identity.h"
#include "core/wire/table.pb.h"

namespace teaselpitch {

/// Slots that the idempotency keys of one service are divided into.
constexpr std::uint32_t slots_per_service = 16;

/// Who runs the keyed requests of one slot.
struct slot_assignment {
    std::string service;
    std::uint32_t slot = 0;
    std::uint64_t epoch = 0;  ///< Offset of the record plus 1; 0 is never assigned.
    node_identity holder;
    std::vector<node_identity> candidates;
    bool planned = false;  ///< The previous holder handed its claims over.

    bool operator==(const slot_assignment&) const = default;
};

slot_assignment parse_assignment(const wire::SlotAssignment& record);

/// The record of an assignment that replaces the one with epoch `previous_epoch`.
wire::SlotAssignment to_wire(const slot_assignment& assignment, std::uint64_t previous_epoch = 0);

/// The current assignment of each slot, by the rule that every reader of the log applies.
class slot_assignments {
public:
    using key = std::pair<std::string, std::uint32_t>;

    /// The current assignment; null when the slot was never assigned.
    [[nodiscard]] const slot_assignment* find(std::string_view service, std::uint32_t slot) const;

    [[nodiscard]] const std::map<key, slot_assignment>& all() const { return slots_; }

    /// Judges a record that was read at the given offset and returns the accepted assignments. Adds one
    /// reason for each refused assignment.
    std::vector<slot_assignment> apply(const wire::SlotChange& change, std::uint64_t offset,
                                       std::vector<std::string>& refusals);

    /// Sets an assignment from a snapshot.
    void restore(slot_assignment assignment);

private:
    std::map<key, slot_assignment> slots_;
};

}  // namespace teaselpitch
