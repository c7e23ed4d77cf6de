#pragma once

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// The search of one request for a target that takes it, over the refusals of gates.
///
/// Pattern: most targets are full or failing for a moment while a few have room, and load reports are old by
/// the time they are read. The search first asks a few gates for a free slot, then queues at one, and takes a
/// suspect target only when no other is left, so that capacity that works is not left idle by an outdated
/// view.
class target_search {
public:
    /// `free_slot_hops` gates are asked for a free slot before the request queues; `max_hops` are asked in
    /// all.
    target_search(std::uint32_t free_slot_hops, std::uint32_t max_hops);

    // Commands.
    /// Takes the end of an attempt at a target.
    void on_attempt(std::string_view target, const exchange_result& result);
    /// Called when no target is left: allows targets that refused for a reason which may be overruled. False
    /// when there is none.
    bool widen();

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
    std::vector<std::string> full_;     ///< Targets without a free slot; they may be queued at.
    std::vector<std::string> suspect_;  ///< Targets that failed their latest work.
};

}  // namespace teaselpitch
