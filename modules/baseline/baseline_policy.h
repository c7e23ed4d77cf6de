#pragma once

#include <atomic>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include "core/identity.h"
#include "core/rcu_cell.h"
#include "servers/routing/retry_policy.h"

namespace teaselpitch {

/// The plain policy that results are compared with: random choice, no ejection, one retry.
/// Safe to use from several threads.
class baseline_policy {
public:
    explicit baseline_policy(std::uint64_t seed);

    /// Replaces the targets; waits for a grace period.
    void update(std::span<const target_identity> targets);
    /// Draws a target with equal probability; empty when there is none.
    std::optional<target_identity> choose();

    /// Says whether the attempt is sent again: the first one, and only when the request is idempotent or
    /// was not run.
    [[nodiscard]] static bool retries(const failed_attempt& attempt);

private:
    const std::uint64_t seed_;
    std::atomic<std::uint64_t> draws_{0};
    rcu_cell<std::vector<target_identity>> targets_;
};

}  // namespace teaselpitch
