#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Searches for a target that accepts one request while gates refuse it.
///
/// Most targets may be full or failing for a short time while a few have spare capacity, and load reports are
/// outdated by the time they are read. The search first tries a few gates for a free slot, then queues at
/// one, and uses a suspect target only when no other is left. An outdated view therefore does not leave
/// working capacity idle.
class target_search {
public:
    /// Tries up to `free_slot_hops` gates for a free slot before the request may queue, and up to `max_hops`
    /// gates in total.
    target_search(std::uint32_t free_slot_hops, std::uint32_t max_hops);

    // Commands.
    /// Records the end of an attempt at a target.
    void on_attempt_end(std::string_view target, const exchange_result& result);
    /// Enters the next phase when no target is left, which allows targets that refused for lack of a free
    /// slot or because they are suspect. Returns false when there is no further phase.
    bool relax_exclusions();

    // Queries.
    /// Targets that the next attempt must not choose.
    [[nodiscard]] std::span<const std::string> excluded() const { return excluded_; }
    [[nodiscard]] bool may_queue() const { return phase_ != phase::free_slot; }
    [[nodiscard]] bool is_last_resort() const { return phase_ == phase::last_resort; }
    [[nodiscard]] bool exhausted() const { return hops_ >= max_hops_; }

private:
    enum class phase : std::uint8_t { free_slot, queue, last_resort };

    void start_queueing();

    const std::uint32_t free_slot_hops_;
    const std::uint32_t max_hops_;
    std::uint32_t hops_ = 0;
    phase phase_;
    std::vector<std::string> excluded_;
    std::vector<std::string> full_targets_;     ///< Targets without a free slot; the request may queue there.
    std::vector<std::string> suspect_targets_;  ///< Targets that failed their latest requests.
};

}  // namespace teaselpitch
