#include "servers/admission/share_allocator.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace teaselpitch {
namespace {

// Fraction of the unused capacity that is granted as surplus. The rest stays free, so that a new node gets a
// share at once.
constexpr double surplus_fraction = 0.8;
constexpr std::chrono::milliseconds level_recompute_interval{500};

}  // namespace

share_allocator::share_allocator(const time_source& clock, const share_options& options,
                                 limit_lookup lookup_limit)
    : clock_(clock), options_(options), lookup_limit_(std::move(lookup_limit)) {}

void share_allocator::on_fleet_size(const fleet_size& size) {
    size_ = size;
}

double share_allocator::grantable_limit(const limit_key& key) const {
    const double alive_fraction =
        static_cast<double>(size_.alive_nodes) / std::max(size_.known_nodes, size_.alive_nodes);
    return lookup_limit_(key) * (1 - options_.ungranted_fraction) * alive_fraction;
}

share_grant share_allocator::on_report(const node_identity& from, const demand_report& report) {
    const steady_time now = clock_.now();
    if (!shares_by_key_.contains(report.key) && shares_by_key_.size() >= options_.max_entries) {
        return {report.key, 0, options_.grant_validity, report.sequence};
    }
    const double capacity = grantable_limit(report.key);
    key_shares& entry = shares_by_key_[report.key];
    entry.nodes[from.name].demand = report.demand;
    if (now - entry.level_computed_at >= level_recompute_interval) {
        remove_expired_shares(entry, now);
        compute_fair_level(entry, capacity, now);
    }
    node_share& own =
        entry.nodes[from.name];  // The entry may have been removed as expired and is added again.
    own.demand = report.demand;
    const double outstanding_of_others = entry.outstanding_share - own.outstanding_share;
    const double met_demand = std::min(own.demand, entry.fair_level);
    const double wanted_share = met_demand * (1 + entry.surplus_ratio);
    const double share = std::clamp(wanted_share, 0.0, std::max(capacity - outstanding_of_others, 0.0));
    // The larger share counts until the node reports that it uses the smaller one.
    const double counted_share = std::max(share, report.held_share);
    entry.outstanding_share = outstanding_of_others + counted_share;
    own.outstanding_share = counted_share;
    own.expires_at = now + options_.grant_validity;
    return {report.key, share, options_.grant_validity, report.sequence};
}

void share_allocator::compute_fair_level(key_shares& entry, double capacity, steady_time now) {
    std::vector<double> demands;
    demands.reserve(entry.nodes.size());
    for (const auto& [name, node] : entry.nodes) {
        demands.push_back(node.demand);
    }
    std::sort(demands.begin(), demands.end());
    double remaining_capacity = capacity;
    entry.fair_level = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double equal_share = remaining_capacity / static_cast<double>(demands.size() - i);
        if (demands[i] >= equal_share) {
            entry.fair_level = equal_share;
            remaining_capacity = 0;
            break;
        }
        remaining_capacity -= demands[i];
    }
    const double met_demand = capacity - remaining_capacity;
    entry.surplus_ratio = met_demand > 0 ? surplus_fraction * remaining_capacity / met_demand : 0;
    entry.level_computed_at = now;
}

void share_allocator::remove_expired_shares(key_shares& entry, steady_time now) {
    entry.outstanding_share = 0;
    absl::erase_if(entry.nodes, [&](const auto& item) {
        return item.second.expires_at < now && item.second.expires_at != steady_time{};
    });
    for (const auto& [name, node] : entry.nodes) {
        entry.outstanding_share += node.outstanding_share;
    }
}

void share_allocator::on_tick() {
    const steady_time now = clock_.now();
    absl::erase_if(shares_by_key_, [&](auto& item) {
        remove_expired_shares(item.second, now);
        return item.second.nodes.empty();
    });
}

std::string select_home_node(const limit_key& key, std::span<const std::string> alive_nodes) {
    const std::uint64_t seed = stable_hash(key.owner, stable_hash(key.service));
    const auto top = std::max_element(alive_nodes.begin(), alive_nodes.end(),
                                      [seed](const std::string& left, const std::string& right) {
                                          return stable_hash(left, seed) < stable_hash(right, seed);
                                      });
    return top == alive_nodes.end() ? std::string() : *top;
}

}  // namespace teaselpitch
