#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "servers/admission/account_quota.h"
#include "servers/admission/quota_view.h"
#include "servers/routing/name_map.h"

namespace teaselpitch {

struct quota_bank_options {
    /// Validity of a granted token, counted at the node from the time at which it asked.
    std::chrono::milliseconds lease{500};
    /// Maximum number of accounts with a bucket; about 100 bytes each.
    std::size_t max_accounts = 100'000;
};

/// Answer of the home node of an account.
struct quota_grant {
    std::uint32_t granted = 0;
    /// Time until the next token is available; set when fewer tokens were granted than wanted.
    std::chrono::milliseconds retry_after{0};
    /// False when this node can't grant: it is not the home of the account in its own view, its view is not
    /// settled, or it has no room for another bucket.
    bool decided = true;
};

/// Runs on the home node of an account and grants tokens of the account's quota, from one token bucket for
/// each account.
///
/// A bucket starts empty at the time at which this node became the home, and fills since then. Over any time
/// T all homes of an account together therefore grant at most burst + rate * T tokens that are not returned.
/// Rate and burst are scaled by the fraction of members that are alive in this node's view, so that the
/// groups of nodes that a network partition separates stay within the quota together. Used by the control
/// thread only.
class quota_bank {
public:
    quota_bank(const time_source& clock, quota_view& view, quota_bank_options options = {});

    /// Takes up to `wanted` tokens. `quota` is the one in force now; a lowered burst caps the bucket at once.
    quota_grant grant(std::string_view account, std::uint32_t wanted, const account_quota& quota);

    /// Accepts tokens that a node was granted by this home, did not use and has removed. They count as never
    /// granted, so that what the bucket could not have held is lost.
    void give_back(std::string_view account, std::uint32_t returned);

    /// Removes full buckets: a new one would be full as well. Must be called about once a second.
    void on_tick();

    [[nodiscard]] std::size_t account_count() const { return buckets_.size(); }

private:
    struct bucket {
        double tokens = 0;
        double rate = 0;   ///< Tokens per second, scaled.
        double burst = 0;  ///< Capacity, scaled.
        steady_time filled_at{};
        steady_time home_since{};
        std::uint64_t generation = 0;  ///< Of the view by which home_since was determined.
        /// Highest level since period_start and in the period before it; a period is one lease.
        double peak = 0;
        double previous_peak = 0;
        steady_time period_start{};
    };

    bucket* find_or_add(std::string_view account);
    bool update_home(std::string_view account, bucket& entry, double rate, double burst, double initial);
    void refill(bucket& entry, steady_time now) const;

    const time_source& clock_;
    quota_view& view_;
    const quota_bank_options options_;
    name_map<bucket> buckets_;
};

}  // namespace teaselpitch
