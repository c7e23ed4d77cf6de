#include "servers/admission/quota_view.h"

#include <algorithm>
#include <utility>

#include "core/identity.h"
#include "servers/admission/share_allocator.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::seconds growth_merge_time{10};

// Separates the homes of quotas from those of the older limits, whose keys name a service.
limit_key home_key(std::string_view account) {
    return {std::string(account), "quota"};
}

std::uint64_t home_seed(std::string_view account) {
    const limit_key key = home_key(account);
    return stable_hash(key.owner, stable_hash(key.service));
}

}  // namespace

quota_view::quota_view(const time_source& clock, std::string self, quota_view_options options)
    : clock_(clock),
      self_(std::move(self)),
      options_(options),
      started_at_(clock.now()),
      last_growth_at_(clock.now()),
      alive_{self_} {}

void quota_view::on_members(quota_members members) {
    const steady_time now = clock_.now();
    possible_ = std::max({members.possible, members.alive.size(), std::size_t{1}});
    record_fraction(
        static_cast<double>(std::max(members.confirmed, std::size_t{1})) / static_cast<double>(possible_),
        now);
    std::sort(members.alive.begin(), members.alive.end());
    if (members.alive == alive_) {
        return;
    }
    ++generation_;
    for (const std::string& name : alive_) {
        if (!std::binary_search(members.alive.begin(), members.alive.end(), name)) {
            departed_at_[name] = now;
        }
    }
    for (const std::string& name : members.alive) {
        departed_at_.erase(name);
        if (!std::binary_search(alive_.begin(), alive_.end(), name)) {
            last_growth_at_ = now;
        }
    }
    // A view that settled before this change stays settled.
    (void)is_settled();
    alive_ = std::move(members.alive);
    limit_departures();
}

void quota_view::limit_departures() {
    while (departed_at_.size() > options_.max_departures) {
        const auto oldest =
            std::min_element(departed_at_.begin(), departed_at_.end(),
                             [](const auto& left, const auto& right) { return left.second < right.second; });
        oldest_known_departure_ = std::max(oldest_known_departure_, oldest->second);
        departed_at_.erase(oldest);
    }
}

steady_time quota_view::settle_at() const {
    const steady_time latest = started_at_ + options_.max_settle_time;
    return alive_.size() < 2 ? latest : std::min(last_growth_at_ + options_.settle_time, latest);
}

bool quota_view::is_settled() {
    if (!settled_at_ && clock_.now() >= settle_at()) {
        settled_at_ = settle_at();
        ++generation_;
    }
    return settled_at_.has_value();
}

std::string quota_view::home_of(std::string_view account) {
    // A node that knows no other member can't tell yet that it is alone.
    if (alive_.size() < 2 && !is_settled()) {
        return {};
    }
    return select_home_node(home_key(account), alive_);
}

std::optional<steady_time> quota_view::home_since(std::string_view account) {
    if (!is_settled() || home_of(account) != self_) {
        return std::nullopt;
    }
    const std::uint64_t seed = home_seed(account);
    const std::uint64_t own_weight = stable_hash(self_, seed);
    steady_time since = std::max(*settled_at_, oldest_known_departure_);
    for (const auto& [name, time] : departed_at_) {
        if (time > since && stable_hash(name, seed) >= own_weight) {
            since = time;
        }
    }
    return since;
}

void quota_view::record_fraction(double fraction, steady_time now) {
    if (fractions_.empty() || fractions_.back().fraction != fraction) {
        fractions_.push_back({now, std::min(fraction, 1.0)});
    }
}

double quota_view::grantable_fraction() {
    const steady_time now = clock_.now();
    // The first entry is the one in force at the start of the time that counts.
    while (fractions_.size() > 1 && now - fractions_[1].at >= options_.growth_delay) {
        const double before = lowest_fraction();
        const steady_time taken_at = fractions_[1].at + options_.growth_delay;
        fractions_.pop_front();
        if (lowest_fraction() > before) {
            // Members of the other side return one after the other, so the lowest recent fraction counts.
            const bool continues = taken_at - growth_.at < growth_merge_time;
            growth_ = {taken_at, continues ? std::min(growth_.fraction, before) : before};
        }
    }
    return lowest_fraction();
}

double quota_view::lowest_fraction() const {
    double fraction = 1;
    for (const fraction_change& change : fractions_) {
        fraction = std::min(fraction, change.fraction);
    }
    return fraction;
}

double quota_view::initial_level(const account_quota& quota) {
    const double fraction = grantable_fraction();
    const std::chrono::duration<double> since_growth = clock_.now() - growth_.at;
    return std::min(quota.burst * fraction,
                    quota.burst * growth_.fraction + quota.requests_per_s * fraction * since_growth.count());
}

}  // namespace teaselpitch
