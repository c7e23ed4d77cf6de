#include "servers/admission/account_limiter.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselpitch {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

constexpr double burst_seconds = 1;
constexpr double demand_weight = 0.5;  // Of the newest interval; halves the noise of a Poisson count.
constexpr double idle_weight = 0.75;   // After an interval without requests the share is soon free again.
constexpr double spare_factor = 2;     // Of the demand; what a node keeps for a rise of its demand.
constexpr double overflow_rate = 50;   // Requests per second of all keys of one stripe beyond the table.
constexpr milliseconds min_retry_after{100};
constexpr milliseconds max_retry_after{10'000};

double seconds_between(steady_time from, steady_time to) {
    return duration<double>(to - from).count();
}

}  // namespace

account_limiter::account_limiter(const time_source& clock, const share_options& options, limit_hook limit_of)
    : clock_(clock), options_(options), limit_of_(std::move(limit_of)), collected_at_(clock.now()) {
    for (stripe& part : stripes_) {
        part.overflow.limit = overflow_rate;
        part.overflow.filled_at = clock.now();
    }
}

limit_decision account_limiter::admit(std::string_view account, std::string_view service) {
    const limit_key key{std::string(account), std::string(service)};
    stripe& part = stripe_of(key);
    const std::lock_guard lock(part.mutex);
    const steady_time now = clock_.now();
    bucket& entry = find_or_add(part, key, now);
    ++entry.attempts;
    entry.used_at = now;
    const limit_decision decision = take_token(entry, now);
    if (!decision.admitted && ++entry.refused == 1 && &entry != &part.overflow) {
        part.urgent.push_back(key);
    }
    return decision;
}

limit_decision account_limiter::take_token(bucket& entry, steady_time now) const {
    refill(entry, now);
    if (entry.tokens >= 1) {
        entry.tokens -= 1;
        return {.admitted = true};
    }
    const double wait = (1 - entry.tokens) / std::max(rate_of(entry, now), 1e-3);
    const auto retry_after = std::chrono::ceil<milliseconds>(duration<double>(std::min(wait, 3600.0)));
    return {.retry_after = std::clamp(retry_after, min_retry_after, max_retry_after)};
}

double account_limiter::rate_of(const bucket& entry, steady_time now) const {
    const double ungranted = entry.limit * options_.ungranted_part / known_nodes_.load();
    return ungranted + (now < entry.granted_until ? entry.granted : 0);
}

void account_limiter::refill(bucket& entry, steady_time now) const {
    // A grant that ended in between counts up to its end only.
    const steady_time granted_to = std::clamp(entry.granted_until, entry.filled_at, now);
    const double ungranted = entry.limit * options_.ungranted_part / known_nodes_.load();
    entry.tokens += ungranted * seconds_between(entry.filled_at, now) +
                    entry.granted * seconds_between(entry.filled_at, granted_to);
    entry.tokens = std::min(entry.tokens, std::max(1.0, burst_seconds * rate_of(entry, now)));
    entry.filled_at = now;
}

account_limiter::bucket& account_limiter::find_or_add(stripe& part, const limit_key& key, steady_time now) {
    const auto found = part.buckets.find(key);
    if (found != part.buckets.end()) {
        return found->second;
    }
    if (part.buckets.size() >= options_.max_entries / stripe_count) {
        return part.overflow;
    }
    bucket& entry = part.buckets[key];
    entry.limit = limit_of_(key);
    entry.filled_at = now;
    entry.reported_at = now;
    part.urgent.push_back(key);
    return entry;
}

void account_limiter::on_grant(const share_grant& grant) {
    stripe& part = stripe_of(grant.key);
    const std::lock_guard lock(part.mutex);
    const auto found = part.buckets.find(grant.key);
    if (found == part.buckets.end() || found->second.sequence != grant.sequence) {
        return;  // The validity of an older grant counts from a report whose time is no longer known.
    }
    bucket& entry = found->second;
    refill(entry, clock_.now());
    entry.granted = grant.share;
    entry.granted_until = entry.reported_at + grant.valid_for;
}

void account_limiter::on_fleet_size(const fleet_size& size) {
    known_nodes_.store(std::max({size.known, size.alive, 1U}));
}

std::vector<demand_report> account_limiter::on_tick() {
    const steady_time now = clock_.now();
    const bool all = now - collected_at_ >= options_.report_interval;
    if (all) {
        collected_at_ = now;
    }
    std::vector<demand_report> reports;
    for (stripe& part : stripes_) {
        const std::lock_guard lock(part.mutex);
        collect(part, all, now, reports);
    }
    return reports;
}

void account_limiter::collect(stripe& part, bool all, steady_time now, std::vector<demand_report>& reports) {
    std::vector<limit_key> waiting;
    for (limit_key& key : part.urgent) {
        const auto found = part.buckets.find(key);
        if (found == part.buckets.end() || found->second.attempts == 0) {
            continue;
        }
        const bool is_new = found->second.sequence == 0;
        if (is_new || now - found->second.reported_at >= options_.report_interval / 4) {
            reports.push_back(report_of(key, found->second, now));
        } else {
            waiting.push_back(std::move(key));
        }
    }
    part.urgent = std::move(waiting);
    if (!all) {
        return;
    }
    absl::erase_if(part.buckets, [&](const auto& item) {
        return now - item.second.used_at >= options_.idle_after && now >= item.second.granted_until;
    });
    for (auto& [key, entry] : part.buckets) {
        const bool active = now - entry.used_at < options_.idle_after;
        if (active && now - entry.reported_at >= options_.report_interval / 2) {
            entry.limit = limit_of_(key);
            reports.push_back(report_of(key, entry, now));
        }
    }
}

demand_report account_limiter::report_of(const limit_key& key, bucket& entry, steady_time now) const {
    const auto shortest = entry.sequence == 0 ? options_.report_interval : options_.report_interval / 4;
    const double interval =
        std::max(seconds_between(entry.reported_at, now), duration<double>(shortest).count());
    const double newest = entry.attempts / interval;
    const double weight = entry.attempts == 0 ? idle_weight : demand_weight;
    entry.demand = entry.sequence == 0 ? newest : entry.demand + weight * (newest - entry.demand);
    entry.attempts = 0;
    entry.refused = 0;
    refill(entry, now);
    // What the node does not need is free for others as soon as the home reads the report.
    entry.granted = now < entry.granted_until ? std::min(entry.granted, spare_factor * entry.demand) : 0;
    entry.reported_at = now;
    ++entry.sequence;
    return {key, entry.demand, entry.granted, entry.sequence};
}

std::size_t account_limiter::entries() const {
    std::size_t total = 0;
    for (const stripe& part : stripes_) {
        const std::lock_guard lock(part.mutex);
        total += part.buckets.size();
    }
    return total;
}

account_limiter::stripe& account_limiter::stripe_of(const limit_key& key) {
    return stripes_[absl::Hash<limit_key>{}(key) % stripe_count];
}

}  // namespace teaselpitch
