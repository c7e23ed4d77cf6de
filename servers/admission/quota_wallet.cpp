#include "servers/admission/quota_wallet.h"

#include <algorithm>
#include <cmath>

#include "core/identity.h"

namespace teaselpitch {
namespace {

using std::chrono::duration;
using std::chrono::milliseconds;

// Averages over about two horizons: shorter ones follow the noise of single arrivals.
constexpr double demand_memory_s = 0.5;
// With a smaller expectation, more than one in twenty of the tokens asked for in advance would expire unused.
constexpr double min_advance_tokens = 2;
constexpr milliseconds return_before_expiry{
    200};  // Leaves the tokens valid for long enough to be granted again.
constexpr milliseconds min_unused_time{100};
constexpr milliseconds log_interval{1'000};
constexpr milliseconds fallback_idle_timeout{60'000};

double seconds_between(steady_time from, steady_time to) {
    return duration<double>(to - from).count();
}

milliseconds time_until(steady_time when, steady_time now) {
    return std::max(std::chrono::ceil<milliseconds>(when - now), milliseconds{1});
}

}  // namespace

quota_wallet::quota_wallet(const time_source& clock, std::uint64_t seed, quota_wallet_options options)
    : clock_(clock), seed_(seed), options_(options) {}

quota_wallet::entry* quota_wallet::find(std::string_view account) {
    const auto found = entries_.find(account);
    return found == entries_.end() ? nullptr : &found->second;
}

double quota_wallet::demand_per_s(const entry& account, steady_time now) const {
    return account.recent * std::exp(-seconds_between(account.counted_at, now) / demand_memory_s) /
           demand_memory_s;
}

quota_take quota_wallet::take(std::string_view account, const account_quota& quota) {
    const steady_time now = clock_.now();
    entry* found = find(account);
    if (found == nullptr) {
        if (entries_.size() >= options_.max_accounts) {
            return {.result = quota_take::outcome::home_unreachable,
                    .retry_after = options_.unreachable_retry};
        }
        found = &entries_[std::string(account)];
        found->counted_at = now;
    }
    found->recent = demand_per_s(*found, now) * demand_memory_s + 1;
    found->counted_at = now;
    found->used_at = now;
    found->quota = quota;
    return take_from(*found, now);
}

quota_take quota_wallet::take_again(std::string_view account) {
    entry* found = find(account);
    return found == nullptr ? quota_take{} : take_from(*found, clock_.now());
}

quota_take quota_wallet::take_from(entry& account, steady_time now) {
    for (token_lot* lot : {&account.older, &account.latest}) {
        if (lot->is_usable(now)) {
            --lot->tokens;
            return {.result = quota_take::outcome::admitted, .expires_at = lot->expires_at};
        }
    }
    if (now < account.refused_until) {
        return {.result = quota_take::outcome::limited, .retry_after = time_until(account.token_at, now)};
    }
    if (now < account.unreachable_until) {
        return take_without_home(account, now);
    }
    return {};
}

quota_take quota_wallet::take_without_home(entry& account, steady_time now) {
    const quota_take refused{.result = quota_take::outcome::home_unreachable,
                             .retry_after = options_.unreachable_retry};
    if (possible_members_ == 0) {
        return refused;
    }
    const double rate =
        account.quota.requests_per_s * options_.fallback_fraction / static_cast<double>(possible_members_);
    // The capacity of one token is the smallest one that admits any request.
    account.fallback_tokens = std::min(
        1.0, account.fallback_tokens + rate * seconds_between(account.fallback_filled_at.value_or(now), now));
    account.fallback_filled_at = now;
    if (account.fallback_tokens < 1) {
        return refused;
    }
    account.fallback_tokens -= 1;
    return {.result = quota_take::outcome::admitted, .expires_at = now + options_.lease};
}

bool quota_wallet::begin_ask(std::string_view account) {
    entry* found = find(account);
    const steady_time now = clock_.now();
    if (found == nullptr || (found->asking && now - found->ask_started_at < options_.ask_timeout)) {
        return false;
    }
    found->asking = true;
    found->ask_started_at = now;
    ++found->sequence;
    return true;
}

quota_ask quota_wallet::make_ask(std::string_view account, std::uint32_t waiting) {
    const steady_time now = clock_.now();
    quota_ask ask{.account = std::string(account), .wanted = waiting, .asked_at = now};
    if (const entry* found = find(account)) {
        const double expected = demand_per_s(*found, now) * duration<double>(options_.demand_horizon).count();
        ask.wanted += expected < min_advance_tokens ? 0 : static_cast<std::uint32_t>(expected);
        ask.sequence = found->sequence;
    }
    return ask;
}

void quota_wallet::on_grant(const quota_ask& ask, std::uint32_t granted, milliseconds retry_after,
                            std::uint64_t home) {
    entry* found = find(ask.account);
    if (found == nullptr || !found->asking || found->sequence != ask.sequence) {
        return;
    }
    const steady_time now = clock_.now();
    found->asking = false;
    found->unreachable_until = {};
    found->fallback_filled_at.reset();
    found->fallback_tokens = 0;
    const token_lot lot{granted, ask.asked_at + options_.lease};
    if (lot.is_usable(now)) {
        if (found->latest.is_usable(now)) {
            found->older = found->latest;
        }
        found->latest = lot;
        found->home = home;
    }
    if (granted < ask.wanted) {
        found->token_at = now + retry_after;
        found->refused_until = now + std::min(retry_after, options_.max_refusal_cache);
    }
}

void quota_wallet::on_failure(const quota_ask& ask) {
    entry* found = find(ask.account);
    if (found == nullptr || !found->asking || found->sequence != ask.sequence) {
        return;
    }
    const steady_time now = clock_.now();
    found->asking = false;
    found->unreachable_until = now + options_.unreachable_retry;
    if (!found->fallback_filled_at) {
        found->fallback_filled_at = now;
        // All nodes may lose the home at the same time, and must not get their first tokens at the same time.
        constexpr double hash_range = 0x1.0p64;
        found->fallback_tokens =
            -static_cast<double>(stable_hash(ask.account, seed_ + ask.sequence)) / hash_range;
    }
}

void quota_wallet::give_back(std::string_view account, steady_time expires_at) {
    const steady_time now = clock_.now();
    entry* found = find(account);
    if (found == nullptr || now >= expires_at) {
        return;
    }
    if (found->latest.expires_at == expires_at) {
        ++found->latest.tokens;
        return;
    }
    // Lots are merged with the earlier expiry, so that no token becomes valid for longer.
    if (found->older.is_usable(now)) {
        found->older = {found->older.tokens + 1, std::min(found->older.expires_at, expires_at)};
    } else {
        found->older = {1, expires_at};
    }
}

std::uint32_t quota_wallet::surplus(const entry& account, steady_time now) const {
    const token_lot& lot = account.latest;
    if (!lot.is_usable(now) || lot.expires_at - now > return_before_expiry ||
        now - account.used_at < min_unused_time) {
        return 0;
    }
    const double expected = std::ceil(demand_per_s(account, now) * seconds_between(now, lot.expires_at));
    return expected >= lot.tokens ? 0 : lot.tokens - static_cast<std::uint32_t>(expected);
}

bool quota_wallet::is_idle(const entry& account, steady_time now) const {
    // A local bucket fills slowly, and a new one would start empty.
    const milliseconds timeout = account.fallback_filled_at ? fallback_idle_timeout : options_.idle_timeout;
    return now - account.used_at >= timeout && !account.asking && !account.latest.is_usable(now) &&
           !account.older.is_usable(now) && now >= account.refused_until;
}

std::vector<quota_return> quota_wallet::on_tick() {
    const steady_time now = clock_.now();
    std::vector<quota_return> returns;
    absl::erase_if(entries_, [&](auto& item) {
        entry& account = item.second;
        if (account.asking && now - account.ask_started_at >= options_.ask_timeout) {
            account.asking = false;
        }
        if (const std::uint32_t unneeded = surplus(account, now); unneeded > 0) {
            account.latest.tokens -= unneeded;
            returns.push_back({item.first, account.home, unneeded});
        }
        return is_idle(account, now);
    });
    return returns;
}

bool quota_wallet::should_log_refusal(std::string_view account) {
    entry* found = find(account);
    const steady_time now = clock_.now();
    if (found == nullptr || now - found->logged_at < log_interval) {
        return false;
    }
    found->logged_at = now;
    return true;
}

}  // namespace teaselpitch
