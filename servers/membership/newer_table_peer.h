#pragma once

#include <cstdint>
#include <optional>
#include <span>

#include "core/identity.h"
#include "servers/membership/member_table.h"

namespace teaselpitch {

/// Peer address of a running member that reported a later table than `version`; empty when there is none.
///
/// A node without access to the store fetches the table from its peers, many of which may be unreachable too.
/// `attempt` numbers the attempts; successive attempts select different members, so that an unreachable
/// member does not keep the node on an old version.
std::optional<endpoint> find_newer_table_peer(std::span<const member> members, std::uint64_t version,
                                              std::uint64_t attempt);

}  // namespace teaselpitch
