#include "servers/membership/zone_bridges.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <tuple>

namespace teaselpitch {
namespace {

// Differs from the seeds of other rankings, so that a bridge is not also the first choice elsewhere.
constexpr std::uint64_t bridge_rank_seed = 0x6272696467655f31;

std::uint64_t ring_position(const member& value) {
    return stable_hash(value.identity.name, bridge_rank_seed);
}

bool precedes(const member* left, const member* right) {
    const auto rank = [](const member& value) {
        const bool unavailable = value.state != node_state::alive || value.draining;
        return std::tuple(unavailable, ring_position(value), std::string_view(value.identity.name));
    };
    return rank(*left) < rank(*right);
}

}  // namespace

void zone_bridges::update(const member& self, std::span<member* const> running) {
    std::map<std::string_view, std::vector<const member*>> zones;
    zones[self.availability_zone].push_back(&self);
    zone_members_.clear();
    remote_members_.clear();
    for (const member* value : running) {
        zones[value->availability_zone].push_back(value);
        (value->availability_zone == self.availability_zone ? zone_members_ : remote_members_)
            .push_back(value);
    }
    remote_zones_.clear();
    for (auto& [name, members] : zones) {
        const auto end = members.begin() + static_cast<std::ptrdiff_t>(std::min(count_, members.size()));
        std::partial_sort(members.begin(), end, members.end(), precedes);
        members.erase(end, members.end());
        if (name == self.availability_zone) {
            is_bridge_ = std::find(members.begin(), members.end(), &self) != members.end();
        } else {
            remote_zones_.push_back({std::string(name), std::move(members)});
        }
    }
    next_on_ring_ = nullptr;
    // Unsigned subtraction gives the distance on the ring, also across its end.
    const auto distance = [&self](const member& value) {
        return ring_position(value) - ring_position(self) - 1;
    };
    for (const remote_zone& zone : remote_zones_) {
        for (const member* bridge : zone.bridges) {
            if (next_on_ring_ == nullptr || distance(*bridge) < distance(*next_on_ring_)) {
                next_on_ring_ = bridge;
            }
        }
    }
}

}  // namespace teaselpitch
