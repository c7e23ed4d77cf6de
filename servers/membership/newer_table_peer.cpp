#include "servers/membership/newer_table_peer.h"

#include <algorithm>

namespace teaselpitch {

std::optional<endpoint> find_newer_table_peer(std::span<const member> members, std::uint64_t version,
                                              std::uint64_t attempt) {
    const auto has_newer_table = [version](const member& known) {
        return known.running() && known.table_version > version;
    };
    const auto count =
        static_cast<std::uint64_t>(std::count_if(members.begin(), members.end(), has_newer_table));
    if (count == 0) {
        return std::nullopt;
    }
    std::uint64_t members_to_skip = attempt % count;
    for (const member& known : members) {
        if (has_newer_table(known) && members_to_skip-- == 0) {
            return known.peer;
        }
    }
    return std::nullopt;
}

}  // namespace teaselpitch
