#include "servers/admission/account_limiter.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselpitch {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

constexpr double burst_seconds = 1;
constexpr double newest_demand_weight =
    0.5;  // Weight of the newest interval; halves the noise of a Poisson count.
constexpr double idle_demand_weight =
    0.75;  // Used after an interval without requests, to release the share soon.
constexpr double demand_headroom_factor = 2;  // A node retains up to this multiple of its demand, for a rise.
constexpr double overflow_rate_per_s = 50;    // Shared by the keys of one stripe that have no bucket.
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{10'000};

double seconds_between(steady_time from, steady_time to) {
    return duration<double>(to - from).count();
}

}  // namespace

account_limiter::account_limiter(const time_source& clock, const share_options& options,
                                 limit_lookup lookup_limit)
    : clock_(clock),
      options_(options),
      lookup_limit_(std::move(lookup_limit)),
      last_full_report_at_(clock.now()) {
    for (bucket_stripe& stripe : stripes_) {
        stripe.overflow.limit = overflow_rate_per_s;
        stripe.overflow.filled_at = clock.now();
    }
}

limit_decision account_limiter::admit(std::string_view account, std::string_view service) {
    const limit_key key{std::string(account), std::string(service)};
    bucket_stripe& stripe = find_stripe(key);
    const std::lock_guard lock(stripe.mutex);
    const steady_time now = clock_.now();
    bucket& entry = find_or_add(stripe, key, now);
    ++entry.attempts;
    entry.used_at = now;
    const limit_decision decision = try_take_token(entry, now);
    if (!decision.admitted && ++entry.refused == 1 && &entry != &stripe.overflow) {
        stripe.early_report_keys.push_back(key);
    }
    return decision;
}

limit_decision account_limiter::try_take_token(bucket& entry, steady_time now) const {
    refill(entry, now);
    if (entry.tokens >= 1) {
        entry.tokens -= 1;
        return {.admitted = true};
    }
    const double wait = (1 - entry.tokens) / std::max(current_rate(entry, now), 1e-3);
    const auto retry_after = std::chrono::ceil<milliseconds>(duration<double>(std::min(wait, 3600.0)));
    return {.retry_after = std::clamp(retry_after, min_retry_after, max_retry_after)};
}

double account_limiter::current_rate(const bucket& entry, steady_time now) const {
    const double ungranted_rate = entry.limit * options_.ungranted_fraction / known_node_count_.load();
    return ungranted_rate + (now < entry.granted_until ? entry.granted : 0);
}

void account_limiter::refill(bucket& entry, steady_time now) const {
    // A grant that expired since the last refill adds tokens only until its expiry.
    const steady_time granted_to = std::clamp(entry.granted_until, entry.filled_at, now);
    const double ungranted_rate = entry.limit * options_.ungranted_fraction / known_node_count_.load();
    entry.tokens += ungranted_rate * seconds_between(entry.filled_at, now) +
                    entry.granted * seconds_between(entry.filled_at, granted_to);
    entry.tokens = std::min(entry.tokens, std::max(1.0, burst_seconds * current_rate(entry, now)));
    entry.filled_at = now;
}

account_limiter::bucket& account_limiter::find_or_add(bucket_stripe& stripe, const limit_key& key,
                                                      steady_time now) {
    const auto found = stripe.buckets.find(key);
    if (found != stripe.buckets.end()) {
        return found->second;
    }
    if (stripe.buckets.size() >= options_.max_entries / stripe_count) {
        return stripe.overflow;
    }
    bucket& entry = stripe.buckets[key];
    entry.limit = lookup_limit_(key);
    entry.filled_at = now;
    entry.reported_at = now;
    stripe.early_report_keys.push_back(key);
    return entry;
}

void account_limiter::on_grant(const share_grant& grant) {
    bucket_stripe& stripe = find_stripe(grant.key);
    const std::lock_guard lock(stripe.mutex);
    const auto found = stripe.buckets.find(grant.key);
    if (found == stripe.buckets.end() || found->second.sequence != grant.sequence) {
        return;  // The validity of an older grant starts at a report whose time is no longer stored.
    }
    bucket& entry = found->second;
    refill(entry, clock_.now());
    entry.granted = grant.share;
    entry.granted_until = entry.reported_at + grant.valid_for;
}

void account_limiter::on_fleet_size(const fleet_size& size) {
    known_node_count_.store(std::max({size.known_nodes, size.alive_nodes, 1U}));
}

std::vector<demand_report> account_limiter::on_tick() {
    const steady_time now = clock_.now();
    const bool include_periodic = now - last_full_report_at_ >= options_.report_interval;
    if (include_periodic) {
        last_full_report_at_ = now;
    }
    std::vector<demand_report> reports;
    for (bucket_stripe& stripe : stripes_) {
        const std::lock_guard lock(stripe.mutex);
        collect_reports(stripe, include_periodic, now, reports);
    }
    return reports;
}

void account_limiter::collect_reports(bucket_stripe& stripe, bool include_periodic, steady_time now,
                                      std::vector<demand_report>& reports) {
    std::vector<limit_key> deferred;
    for (limit_key& key : stripe.early_report_keys) {
        const auto found = stripe.buckets.find(key);
        if (found == stripe.buckets.end() || found->second.attempts == 0) {
            continue;
        }
        const bool is_new = found->second.sequence == 0;
        if (is_new || now - found->second.reported_at >= options_.report_interval / 4) {
            reports.push_back(make_report(key, found->second, now));
        } else {
            deferred.push_back(std::move(key));
        }
    }
    stripe.early_report_keys = std::move(deferred);
    if (!include_periodic) {
        return;
    }
    absl::erase_if(stripe.buckets, [&](const auto& item) {
        return now - item.second.used_at >= options_.idle_timeout && now >= item.second.granted_until;
    });
    for (auto& [key, entry] : stripe.buckets) {
        const bool active = now - entry.used_at < options_.idle_timeout;
        if (active && now - entry.reported_at >= options_.report_interval / 2) {
            entry.limit = lookup_limit_(key);
            reports.push_back(make_report(key, entry, now));
        }
    }
}

demand_report account_limiter::make_report(const limit_key& key, bucket& entry, steady_time now) const {
    const auto min_interval = entry.sequence == 0 ? options_.report_interval : options_.report_interval / 4;
    const double interval =
        std::max(seconds_between(entry.reported_at, now), duration<double>(min_interval).count());
    const double newest_rate = entry.attempts / interval;
    const double weight = entry.attempts == 0 ? idle_demand_weight : newest_demand_weight;
    entry.demand = entry.sequence == 0 ? newest_rate : entry.demand + weight * (newest_rate - entry.demand);
    entry.attempts = 0;
    entry.refused = 0;
    refill(entry, now);
    // The home node can grant the unneeded part to other nodes as soon as it receives the report.
    entry.granted =
        now < entry.granted_until ? std::min(entry.granted, demand_headroom_factor * entry.demand) : 0;
    entry.reported_at = now;
    ++entry.sequence;
    return {key, entry.demand, entry.granted, entry.sequence};
}

std::size_t account_limiter::entry_count() const {
    std::size_t total = 0;
    for (const bucket_stripe& stripe : stripes_) {
        const std::lock_guard lock(stripe.mutex);
        total += stripe.buckets.size();
    }
    return total;
}

account_limiter::bucket_stripe& account_limiter::find_stripe(const limit_key& key) {
    return stripes_[absl::Hash<limit_key>{}(key) % stripe_count];
}

}  // namespace teaselpitch
