#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include "core/clock.h"

namespace teaselpitch {

/// What the fleet may repeat at one service.
struct repeat_budget_options {
    double ratio = 0;                 ///< Repeats for each first arrival of a request.
    double slack = 0;                 ///< Repeats of all targets together in each window, whatever arrives.
    std::chrono::seconds window{10};  ///< 1..maximum_window
    std::size_t least_targets = 1;    ///< Parts into which the slack is divided at least.
};

/// The part of one target in the fleet's budget for repeated requests.
///
/// Pattern: a few nodes see nearly all the requests that fail, because their targets make the calls, while
/// the budget is one for the whole fleet. A budget divided among the senders is empty there and unused
/// elsewhere. Here each gate counts the first arrivals at its own target and admits repeats as a share of
/// them; load balancing spreads both over the targets, so that the parts add up without any message between
/// nodes. The fixed part is divided by the targets of the service and grows from nothing at a start, so that
/// neither restarts nor new targets add to it. Safe to use from several threads.
class repeat_budget {
public:
    /// Longest window that is counted.
    static constexpr std::chrono::seconds maximum_window{60};

    repeat_budget(const time_source& clock, const repeat_budget_options& options);

    // Commands.
    /// Takes the number of the service's targets. A lower number counts once the window has passed.
    void set_targets(std::size_t targets);
    /// Counts the first arrival of a request. `inherited` is the chance that a repeated run of another
    /// service called for it, 0 to 1; such a call counts as that part of a repeat, and is never refused.
    void on_first_arrival(double inherited);
    /// Takes one repeat out of the budget; false when there is none left.
    bool try_take(std::uint32_t rank);

    // Queries.
    [[nodiscard]] bool has_room(std::uint32_t rank) const;
    /// Repeats that are left now.
    [[nodiscard]] double left() const;

private:
    struct second_count {
        std::int64_t second = -1;
        double first = 0;
        double repeats = 0;
    };
    struct balance {
        double granted = 0;
        double spent = 0;
    };

    [[nodiscard]] std::int64_t current_second() const;
    second_count& current_count();
    [[nodiscard]] balance balance_now() const;
    [[nodiscard]] bool has_room_locked(std::uint32_t rank) const;

    const time_source& clock_;
    const repeat_budget_options options_;
    const steady_time started_;
    mutable std::mutex mutex_;
    // The window and the one before it.
    std::array<second_count, 2 * maximum_window.count()> counts_{};
    std::size_t targets_;
    std::size_t lower_targets_ = 0;  ///< Largest number since it fell below targets_.
    steady_time fell_at_{};
};

}  // namespace teaselpitch
