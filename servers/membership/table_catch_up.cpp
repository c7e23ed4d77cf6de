#include "servers/membership/table_catch_up.h"

#include <optional>
#include <tuple>
#include <vector>

namespace teaselpitch {

void table_catch_up::update_missing_version(const membership& members) {
    const std::uint64_t own = members.self().table_version;
    const std::uint64_t newest = members.newest_reported_version();
    if (newest <= own) {
        missing_version_.reset();
        calls_by_peer_.clear();
        return;
    }
    if (!missing_version_) {
        missing_since_ = clock_.now();
        next_call_ = clock_.now();
    }
    missing_version_ = newest;
}

// Prefers members that were called least often for this version, then those that can probably be reached.
// Bytes between zones are expensive, but without a missing version, members of other zones are called as
// well, because the store may turn a whole zone away.
const member* table_catch_up::choose(const membership& members) {
    const auto rank = [this, &members](const member& value) {
        const auto calls = calls_by_peer_.find(value.peer);
        return std::tuple(
            calls == calls_by_peer_.end() ? 0U : calls->second,
            value.state != node_state::alive || !members.is_directly_reachable(value.identity.name),
            missing_version_ && value.availability_zone != members.self().availability_zone);
    };
    std::vector<const member*> best;
    std::optional<std::tuple<unsigned, bool, bool>> best_rank;
    for (const member* value : members.running()) {
        if (missing_version_ && value->table_version <= members.self().table_version) {
            continue;
        }
        const auto value_rank = rank(*value);
        if (!best_rank || value_rank < *best_rank) {
            best_rank = value_rank;
            best.clear();
        }
        if (value_rank == *best_rank) {
            best.push_back(value);
        }
    }
    return best.empty() ? nullptr : best[random_() % best.size()];
}

std::optional<endpoint> table_catch_up::on_tick(const membership& members, bool store_available) {
    update_missing_version(members);
    const steady_time now = clock_.now();
    if (calls_ >= options_.max_calls) {
        return std::nullopt;
    }
    if (missing_version_) {
        const bool store_may_answer = store_available && now - missing_since_ < options_.store_grace;
        if (store_may_answer || now < next_call_) {
            return std::nullopt;
        }
        next_call_ = now + options_.call_interval;
    } else {
        if (store_available || now < next_poll_) {
            return std::nullopt;
        }
        next_poll_ = now + options_.poll_interval;
    }
    const member* chosen = choose(members);
    if (chosen == nullptr) {
        return std::nullopt;
    }
    ++calls_;
    if (missing_version_) {
        ++calls_by_peer_[chosen->peer];
    }
    return chosen->peer;
}

}  // namespace teaselpitch
