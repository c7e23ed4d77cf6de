#include "modules/baseline/baseline_policy.h"

#include <array>
#include <cstddef>
#include <memory>
#include <string_view>

namespace teaselpitch {

baseline_policy::baseline_policy(std::uint64_t seed)
    : seed_(seed), targets_(std::make_shared<const std::vector<target_identity>>()) {}

void baseline_policy::replace_targets(std::span<const target_identity> targets) {
    targets_.update(std::make_shared<const std::vector<target_identity>>(targets.begin(), targets.end()));
}

std::optional<target_identity> baseline_policy::choose_target() {
    const auto targets = targets_.read();
    if (targets->empty()) {
        return std::nullopt;
    }
    const std::array<std::uint64_t, 1> draw{draw_count_.fetch_add(1, std::memory_order_relaxed)};
    const std::string_view bytes(reinterpret_cast<const char*>(draw.data()), sizeof(draw));
    return (*targets)[stable_hash(bytes, seed_) % targets->size()];
}

bool baseline_policy::should_retry(const failed_attempt& attempt) {
    const bool allowed = attempt.execution == execution_state::not_run || !attempt.non_idempotent;
    return allowed && attempt.attempts < 2 && !attempt.head_written;
}

}  // namespace teaselpitch
