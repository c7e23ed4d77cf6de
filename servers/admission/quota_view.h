#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "servers/admission/account_quota.h"
#include "servers/routing/name_map.h"

namespace teaselpitch {

/// One view of the fleet, as this node sees it.
struct quota_members {
    std::vector<std::string> alive;  ///< Names of the members that count as alive, including this node.
    std::size_t confirmed = 0;       ///< Alive members that are not suspected.
    std::size_t possible = 0;        ///< Members that may be alive: all that did not leave gracefully.
};

struct quota_view_options {
    /// A node that knows other members takes part once its view has not grown for this time. Until then, it
    /// could take itself for the home of accounts whose home it does not know yet.
    std::chrono::milliseconds settle_time{1'000};
    /// Upper bound of the wait above, and the wait of a node that knows no other member.
    std::chrono::milliseconds max_settle_time{3'000};
    /// A larger fraction of confirmed members takes effect after this time, so that after a partition the
    /// home nodes of the other side have stopped granting.
    std::chrono::milliseconds growth_delay{2'000};
    /// Departures that are kept to determine since when this node has been the home of an account.
    std::size_t max_departures = 1'024;
};

/// Decides from the membership which node is the home of an account, since when, and which part of a quota a
/// home may grant. Used by the control thread only.
class quota_view {
public:
    quota_view(const time_source& clock, std::string self, quota_view_options options = {});

    void on_members(quota_members members);

    /// Returns the home node of the account; empty while the view is not settled or has no members.
    [[nodiscard]] std::string home_of(std::string_view account);
    /// Returns the time since which this node has been the home of the account; empty when it is not.
    [[nodiscard]] std::optional<steady_time> home_since(std::string_view account);
    /// Returns the part of a quota that this node may grant as a home, above 0 and at most 1.
    [[nodiscard]] double grantable_fraction();
    /// Returns the tokens that a bucket without a record holds at most. Less than the scaled burst for some
    /// time after the grantable fraction grew, because homes of the other side may have granted the rest.
    [[nodiscard]] double initial_level(const account_quota& quota);
    [[nodiscard]] std::size_t possible_members() const { return possible_; }
    [[nodiscard]] bool is_settled();
    /// Changes with each change of the results above, except for the fraction.
    [[nodiscard]] std::uint64_t generation() const { return generation_; }

private:
    struct fraction_change {
        steady_time at;
        double fraction;
    };

    [[nodiscard]] steady_time settle_at() const;
    void record_fraction(double fraction, steady_time now);
    [[nodiscard]] double lowest_fraction() const;
    void limit_departures();

    const time_source& clock_;
    const std::string self_;
    const quota_view_options options_;
    const steady_time started_at_;
    steady_time last_growth_at_;
    std::optional<steady_time> settled_at_;
    std::vector<std::string> alive_;  ///< Sorted.
    std::size_t possible_ = 1;
    /// Names of members that are not alive any more, with the times at which they left the view.
    name_map<steady_time> departed_at_;
    steady_time oldest_known_departure_{};  ///< Earlier departures may have been removed.
    std::deque<fraction_change> fractions_;
    fraction_change growth_{.at = {}, .fraction = 1};  ///< Fraction before the latest growth.
    std::uint64_t generation_ = 1;
};

}  // namespace teaselpitch
