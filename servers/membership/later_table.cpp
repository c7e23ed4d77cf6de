#include "servers/membership/later_table.h"

#include <algorithm>

namespace teaselpitch {

std::optional<endpoint> find_later_table(std::span<const member> members, std::uint64_t version,
                                         std::uint64_t turn) {
    const auto has_later = [version](const member& known) {
        return known.running() && known.table_version > version;
    };
    const auto count = static_cast<std::uint64_t>(std::count_if(members.begin(), members.end(), has_later));
    if (count == 0) {
        return std::nullopt;
    }
    std::uint64_t skipped = turn % count;
    for (const member& known : members) {
        if (has_later(known) && skipped-- == 0) {
            return known.peer;
        }
    }
    return std::nullopt;
}

}  // namespace teaselpitch
