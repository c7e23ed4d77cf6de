#include "servers/membership/table_catch_up.h"

#include <vector>

#include "servers/membership/newer_table_peer.h"

namespace teaselpitch {

std::optional<endpoint> table_catch_up::on_tick(const membership& members) {
    if (clock_.now() < next_call_ || calls_ >= options_.max_calls) {
        return std::nullopt;
    }
    next_call_ = clock_.now() + options_.call_interval;
    std::vector<member> known;
    for (const member* each : members.running()) {
        known.push_back(*each);
    }
    const std::optional<endpoint> peer =
        find_newer_table_peer(known, members.self().table_version, ++call_count_);
    calls_ += peer ? 1U : 0U;
    return peer;
}

}  // namespace teaselpitch
