#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace teaselpitch {

/// Number of slots into which the idempotency keys of a service are partitioned.
constexpr std::uint32_t slots_per_service = 16;

/// Identifies one slot of the idempotency keys of a service.
struct slot_id {
    std::string service;
    std::uint32_t slot = 0;  ///< Less than slots_per_service.

    auto operator<=>(const slot_id&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const slot_id& value) {
        return Hash::combine(std::move(state), value.service, value.slot);
    }
};

}  // namespace teaselpitch
