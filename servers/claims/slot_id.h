#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

namespace teaselpitch {

/// Slots into which the idempotency keys of one service are partitioned.
constexpr std::uint32_t slots_per_service = 16;

/// One slot of a service's idempotency keys.
struct slot_id {
    std::string service;
    std::uint32_t slot = 0;  ///< Below slots_per_service.

    auto operator<=>(const slot_id&) const = default;

    template <typename Hash>
    friend Hash AbslHashValue(Hash state, const slot_id& value) {
        return Hash::combine(std::move(state), value.service, value.slot);
    }
};

}  // namespace teaselpitch
