#pragma once

#include <absl/container/flat_hash_map.h>

#include <array>
#include <atomic>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "servers/admission/share_messages.h"

namespace teaselpitch {

/// Whether an account may send one more request now.
struct limit_decision {
    bool admitted = false;
    std::chrono::milliseconds retry_after{0};  ///< Set when refused.
};

/// The node's side of the accounts' rates: a token bucket for each account and service that is active here.
///
/// The rate of a bucket is the share that the home of the key granted, or without a valid grant an equal part
/// of the ungranted part of the limit. Over any time T all nodes together admit at most
///   limit * (T + 1 s) + one request for each node that sees the account after it was idle there,
/// plus limit * (length of a grant) for each change of the key's home.
/// Thread-safe: a request takes one of several locks briefly and sends nothing.
class account_limiter {
public:
    /// The requests per second of a key from the table; an unknown account gets the table's default.
    using limit_hook = std::function<double(const limit_key&)>;

    account_limiter(const time_source& clock, const share_options& options, limit_hook limit_of);

    limit_decision admit(std::string_view account, std::string_view service);

    void on_grant(const share_grant& grant);

    void on_fleet_size(const fleet_size& size);

    /// The reports that are due: of new keys at once, of keys with refusals four times in an interval, of the
    /// others once. Forgets idle keys.
    /// Call it every 100 ms from one thread.
    std::vector<demand_report> on_tick();

    [[nodiscard]] std::size_t entries() const;

private:
    struct bucket {
        double limit = 0;
        double granted = 0;
        steady_time granted_until{};
        double tokens = 1;  ///< The first request of a key needs no grant.
        steady_time filled_at{};
        double demand = 0;
        std::uint32_t attempts = 0;  ///< Since the last report.
        std::uint32_t refused = 0;   ///< Since the last report.
        steady_time reported_at{};
        steady_time used_at{};
        std::uint64_t sequence = 0;
    };

    struct stripe {
        mutable std::mutex mutex;
        absl::flat_hash_map<limit_key, bucket> buckets;
        std::vector<limit_key> urgent;  ///< New keys, and keys with a first refusal since their report.
        bucket overflow;                ///< Shared by the keys that find the table full.
    };

    static constexpr std::size_t stripe_count = 16;

    [[nodiscard]] double rate_of(const bucket& entry, steady_time now) const;
    stripe& stripe_of(const limit_key& key);
    bucket& find_or_add(stripe& part, const limit_key& key, steady_time now);
    limit_decision take_token(bucket& entry, steady_time now) const;
    void refill(bucket& entry, steady_time now) const;
    demand_report report_of(const limit_key& key, bucket& entry, steady_time now) const;
    void collect(stripe& part, bool all, steady_time now, std::vector<demand_report>& reports);

    const time_source& clock_;
    const share_options options_;
    const limit_hook limit_of_;
    std::atomic<std::uint32_t> known_nodes_{1};
    steady_time collected_at_{};
    std::array<stripe, stripe_count> stripes_;
};

}  // namespace teaselpitch
