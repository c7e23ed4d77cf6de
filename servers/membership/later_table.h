#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/identity.h"
#include "servers/membership/member_table.h"

namespace teaselpitch {

/// Peer address of a running member that reported a later table than `version`; empty when there is none.
///
/// Pattern: a node that lost the store catches up from its peers while many of these are cut off too. `turn`
/// numbers the tries, and each goes to another member, so that one that cannot be reached does not keep the
/// node on an old version.
std::optional<endpoint> find_later_table(std::span<const member> members, std::uint64_t version,
                                         std::uint64_t turn);

}  // namespace teaselpitch
