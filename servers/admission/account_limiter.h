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

/// Result of a rate limit check for one request.
struct limit_decision {
    bool admitted = false;
    std::chrono::milliseconds retry_after{0};  ///< Set when refused.
};

/// Enforces account rate limits on one node, with a token bucket for each active pair of account and service.
///
/// The fill rate of a bucket is an equal part of the ungranted fraction of the limit, plus the share that the
/// home node of the key granted while that grant is valid. Over any time T all nodes together admit at most
///   limit * (T + 1 s) + one request for each node on which the account becomes active again,
/// plus limit * (validity of a grant) for each change of the key's home node.
/// Thread-safe: a request holds one of several locks briefly and sends no message.
class account_limiter {
public:
    /// Returns the limit of a key in requests per second; unknown accounts get the default of the table.
    using limit_lookup = std::function<double(const limit_key&)>;

    account_limiter(const time_source& clock, const share_options& options, limit_lookup lookup_limit);

    limit_decision admit(std::string_view account, std::string_view service);

    void on_grant(const share_grant& grant);

    void on_fleet_size(const fleet_size& size);

    /// Returns the reports that are due. A new key is reported at once, a key with refused requests up to
    /// four times per report interval, and any other key once per interval. Removes idle keys. Must be called
    /// every 100 ms from one thread.
    std::vector<demand_report> on_tick();

    [[nodiscard]] std::size_t entry_count() const;

private:
    struct bucket {
        double limit = 0;
        double granted = 0;
        steady_time granted_until{};
        double tokens = 1;  ///< Admits the first request of a key without a grant.
        steady_time filled_at{};
        double demand = 0;
        std::uint32_t attempts = 0;  ///< Since the last report.
        std::uint32_t refused = 0;   ///< Since the last report.
        steady_time reported_at{};
        steady_time used_at{};
        std::uint64_t sequence = 0;
    };

    struct bucket_stripe {
        mutable std::mutex mutex;
        absl::flat_hash_map<limit_key, bucket> buckets;
        std::vector<limit_key>
            early_report_keys;  ///< New keys, and keys with a refused request since their last report.
        bucket overflow;        ///< Shared by all keys for which the table has no room.
    };

    static constexpr std::size_t stripe_count = 16;

    [[nodiscard]] double current_rate(const bucket& entry, steady_time now) const;
    bucket_stripe& find_stripe(const limit_key& key);
    bucket& find_or_add(bucket_stripe& stripe, const limit_key& key, steady_time now);
    limit_decision try_take_token(bucket& entry, steady_time now) const;
    void refill(bucket& entry, steady_time now) const;
    demand_report make_report(const limit_key& key, bucket& entry, steady_time now) const;
    void collect_reports(bucket_stripe& stripe, bool include_periodic, steady_time now,
                         std::vector<demand_report>& reports);

    const time_source& clock_;
    const share_options options_;
    const limit_lookup lookup_limit_;
    std::atomic<std::uint32_t> known_node_count_{1};
    steady_time last_full_report_at_{};
    std::array<bucket_stripe, stripe_count> stripes_;
};

}  // namespace teaselpitch
