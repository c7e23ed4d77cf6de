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

/// Reference policy for comparisons: uniform random choice of the target, no ejection, one retry.
/// Thread-safe.
class baseline_policy {
public:
    explicit baseline_policy(std::uint64_t seed);

    /// Replaces the targets. Blocks until an RCU grace period has passed.
    void replace_targets(std::span<const target_identity> targets);
    /// Chooses a target uniformly at random; empty if there are no targets.
    std::optional<target_identity> choose_target();

    /// Returns whether a failed attempt is retried. Only the first attempt is, if the request is idempotent
    /// or was not executed, and if no answer head has been written to the caller.
    [[nodiscard]] static bool should_retry(const failed_attempt& attempt);

private:
    const std::uint64_t seed_;
    std::atomic<std::uint64_t> draw_count_{0};
    rcu_cell<std::vector<target_identity>> targets_;
};

}  // namespace teaselpitch
