#include "servers/admission/quota_bank.h"

#include <algorithm>
#include <cmath>

namespace teaselpitch {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

constexpr double rounding_tolerance =
    1e-9;  // Tokens; a refill of exactly one token may sum up to slightly less.
constexpr double max_retry_after_s = 3'600;

double seconds_between(steady_time from, steady_time to) {
    return duration<double>(to - from).count();
}

milliseconds time_until_token(double tokens, double rate) {
    const double wait = std::min((1 - tokens) / rate, max_retry_after_s);
    return std::max(std::chrono::ceil<milliseconds>(duration<double>(wait)), milliseconds{1});
}

}  // namespace

quota_bank::quota_bank(const time_source& clock, quota_view& view, quota_bank_options options)
    : clock_(clock), view_(view), options_(options) {}

quota_grant quota_bank::grant(std::string_view account, std::uint32_t wanted, const account_quota& quota) {
    if (!quota.is_limited()) {
        return {.granted = wanted};
    }
    bucket* entry = find_or_add(account);
    if (entry == nullptr) {
        return {.decided = false};
    }
    const double fraction = view_.grantable_fraction();
    const double rate = quota.requests_per_s * fraction;
    // A bucket that can't hold one token would refuse every request.
    const double burst = std::max(quota.burst * fraction, 1.0);
    const double initial = std::max(view_.initial_level(quota), 1.0);
    if (!update_home(account, *entry, rate, burst, initial)) {
        buckets_.erase(std::string(account));
        return {.decided = false};
    }
    refill(*entry, clock_.now());
    entry->rate = rate;
    entry->burst = burst;
    entry->tokens = std::min(entry->tokens, burst);
    const double whole_tokens = std::floor(entry->tokens + rounding_tolerance);
    quota_grant result;
    result.granted = static_cast<std::uint32_t>(std::min<double>(wanted, whole_tokens));
    entry->tokens = std::max(entry->tokens - result.granted, 0.0);
    if (result.granted < wanted) {
        result.retry_after = time_until_token(entry->tokens, rate);
    }
    return result;
}

quota_bank::bucket* quota_bank::find_or_add(std::string_view account) {
    const auto found = buckets_.find(account);
    if (found != buckets_.end()) {
        return &found->second;
    }
    return buckets_.size() < options_.max_accounts ? &buckets_[std::string(account)] : nullptr;
}

bool quota_bank::update_home(std::string_view account, bucket& entry, double rate, double burst,
                             double initial) {
    // The check has the side effect that a view which settles by now counts as a new generation.
    if (view_.is_settled() && entry.generation == view_.generation()) {
        return true;
    }
    const std::optional<steady_time> since = view_.home_since(account);
    if (!since) {
        return false;
    }
    entry.generation = view_.generation();
    if (entry.home_since == *since) {
        return true;
    }
    const steady_time now = clock_.now();
    entry.home_since = *since;
    entry.rate = rate;
    entry.burst = burst;
    entry.tokens = std::min(initial, rate * seconds_between(*since, now));
    entry.filled_at = now;
    entry.peak = entry.tokens;
    entry.previous_peak = entry.tokens;
    entry.period_start = now;
    return true;
}

void quota_bank::refill(bucket& entry, steady_time now) const {
    entry.tokens = std::min(entry.burst, entry.tokens + entry.rate * seconds_between(entry.filled_at, now));
    entry.filled_at = now;
    if (now - entry.period_start >= options_.lease) {
        entry.previous_peak = std::max(entry.peak, entry.tokens);
        entry.peak = entry.tokens;
        entry.period_start = now;
    }
    entry.peak = std::max(entry.peak, entry.tokens);
}

void quota_bank::give_back(std::string_view account, std::uint32_t returned) {
    const auto found = buckets_.find(account);
    if (found == buckets_.end()) {
        return;
    }
    bucket& entry = found->second;
    const steady_time now = clock_.now();
    // Tokens that are still valid may be of an earlier home or an earlier process during the first lease.
    if (now - entry.home_since <= options_.lease) {
        return;
    }
    refill(entry, now);
    // Had the tokens not been granted, the level would have been higher since then. What would have exceeded
    // the burst meanwhile would have been lost.
    const double room = std::max(entry.burst - std::max(entry.peak, entry.previous_peak), 0.0);
    const double accepted = std::min<double>(returned, room);
    entry.tokens += accepted;
    entry.peak += accepted;
    entry.previous_peak += accepted;
}

void quota_bank::on_tick() {
    const steady_time now = clock_.now();
    absl::erase_if(buckets_, [&](auto& item) {
        refill(item.second, now);
        return item.second.tokens >= item.second.burst;
    });
}

}  // namespace teaselpitch
