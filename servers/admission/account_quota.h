#pragma once

namespace teaselpitch {

/// Request rate that a client account may use at all nodes together.
struct account_quota {
    double requests_per_s = 0;  ///< 0 means no limit.
    double burst = 0;           ///< Requests that may exceed the rate at once.

    [[nodiscard]] bool is_limited() const { return requests_per_s > 0; }
    bool operator==(const account_quota&) const = default;
};

}  // namespace teaselpitch
