#include "servers/admission/share_allocator.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace teaselpitch {
namespace {

// The rest of what the demands leave stays free, so that a new node gets a share at once.
constexpr double surplus_part = 0.8;
constexpr std::chrono::milliseconds level_interval{500};

}  // namespace

share_allocator::share_allocator(const time_source& clock, const share_options& options, limit_hook limit_of)
    : clock_(clock), options_(options), limit_of_(std::move(limit_of)) {}

void share_allocator::on_fleet_size(const fleet_size& size) {
    size_ = size;
}

double share_allocator::capacity_of(const limit_key& key) const {
    const double alive = static_cast<double>(size_.alive) / std::max(size_.known, size_.alive);
    return limit_of_(key) * (1 - options_.ungranted_part) * alive;
}

share_grant share_allocator::on_report(const node_identity& from, const demand_report& report) {
    const steady_time now = clock_.now();
    if (!records_.contains(report.key) && records_.size() >= options_.max_entries) {
        return {report.key, 0, options_.grant_valid_for, report.sequence};
    }
    const double capacity = capacity_of(report.key);
    record& entry = records_[report.key];
    entry.nodes[from.name].demand = report.demand;
    if (now - entry.levelled_at >= level_interval) {
        forget_expired(entry, now);
        level(entry, capacity, now);
    }
    node_share& own = entry.nodes[from.name];  // The levelling may have dropped an expired share.
    own.demand = report.demand;
    const double others = entry.outstanding - own.outstanding;
    const double met = std::min(own.demand, entry.level);
    const double wanted = met * (1 + entry.surplus);
    const double share = std::clamp(wanted, 0.0, std::max(capacity - others, 0.0));
    // Until the node reports that it uses the smaller share, the larger one counts.
    const double counted = std::max(share, report.holding);
    entry.outstanding = others + counted;
    own.outstanding = counted;
    own.expires = now + options_.grant_valid_for;
    return {report.key, share, options_.grant_valid_for, report.sequence};
}

void share_allocator::level(record& entry, double capacity, steady_time now) {
    std::vector<double> demands;
    demands.reserve(entry.nodes.size());
    for (const auto& [name, node] : entry.nodes) {
        demands.push_back(node.demand);
    }
    std::sort(demands.begin(), demands.end());
    double left = capacity;
    entry.level = capacity;
    for (std::size_t i = 0; i < demands.size(); ++i) {
        const double equal = left / static_cast<double>(demands.size() - i);
        if (demands[i] >= equal) {
            entry.level = equal;
            left = 0;
            break;
        }
        left -= demands[i];
    }
    const double met = capacity - left;
    entry.surplus = met > 0 ? surplus_part * left / met : 0;
    entry.levelled_at = now;
}

void share_allocator::forget_expired(record& entry, steady_time now) {
    entry.outstanding = 0;
    absl::erase_if(entry.nodes, [&](const auto& item) {
        return item.second.expires < now && item.second.expires != steady_time{};
    });
    for (const auto& [name, node] : entry.nodes) {
        entry.outstanding += node.outstanding;
    }
}

void share_allocator::on_tick() {
    const steady_time now = clock_.now();
    absl::erase_if(records_, [&](auto& item) {
        forget_expired(item.second, now);
        return item.second.nodes.empty();
    });
}

std::string home_of(const limit_key& key, std::span<const std::string> alive_nodes) {
    const std::uint64_t seed = stable_hash(key.owner, stable_hash(key.service));
    const auto top = std::max_element(alive_nodes.begin(), alive_nodes.end(),
                                      [seed](const std::string& left, const std::string& right) {
                                          return stable_hash(left, seed) < stable_hash(right, seed);
                                      });
    return top == alive_nodes.end() ? std::string() : *top;
}

}  // namespace teaselpitch
