#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <mutex>

#include "core/clock.h"

namespace teaselpitch {

/// Limits on the retries that the whole fleet may run at one service.
struct fleet_retry_budget_options {
    double ratio = 0;  ///< Retries per first arrival of a request.
    double slack = 0;  ///< Retries of all targets together in each window, regardless of arrivals.
    std::chrono::seconds window{10};   ///< 1 s to max_window.
    std::size_t min_target_count = 1;  ///< The slack is divided by at least this number.
};

/// The share of one target in the fleet-wide retry budget of its service.
///
/// Nearly all failing requests may come from a few nodes, those whose targets make the calls. A budget
/// divided among the senders would be exhausted on these nodes and unused on the others. Therefore each gate
/// counts the first arrivals at its own target and admits retries as a ratio of them. Load balancing spreads
/// both over the targets, so the shares add up to the fleet's budget without messages between nodes. The
/// slack is divided by the number of targets and grows from zero after a start, so that neither restarts nor
/// new targets add to it. Thread-safe.
class fleet_retry_budget {
public:
    /// Upper bound of the window, in seconds.
    static constexpr std::chrono::seconds max_window{60};

    fleet_retry_budget(const time_source& clock, const fleet_retry_budget_options& options);

    /// Sets the number of targets of the service. A lower number takes effect after one window.
    void set_target_count(std::size_t target_count);
    /// Counts the first arrival of a request. `retry_probability`, 0 to 1, is the probability that a retry at
    /// another service caused it; the request counts as that fraction of a retry. False, and not counted,
    /// when it is probably a retry and the budget is used up.
    bool try_count_first_arrival(double retry_probability);
    /// Spends one retry of the budget; false when none is left.
    bool try_spend_retry(std::uint32_t rank);

    [[nodiscard]] bool has_retry_left(std::uint32_t rank) const;
    /// Returns whether try_count_first_arrival() would count the request now.
    [[nodiscard]] bool accepts_first_arrival(double retry_probability) const;
    /// Returns the number of retries that may be spent now.
    [[nodiscard]] double remaining_retries() const;

private:
    struct per_second_counts {
        std::int64_t second = -1;
        double first_arrivals = 0;
        double retries = 0;
    };
    struct balance {
        double granted = 0;
        double spent = 0;
    };

    [[nodiscard]] std::int64_t current_second() const;
    per_second_counts& current_counts();
    [[nodiscard]] balance current_balance() const;
    [[nodiscard]] bool has_retry_left_locked(std::uint32_t rank) const;
    [[nodiscard]] bool accepts_first_arrival_locked(double retry_probability) const;

    const time_source& clock_;
    const fleet_retry_budget_options options_;
    const steady_time started_;
    mutable std::mutex mutex_;
    // Covers one window and the second that is only partly in it.
    std::array<per_second_counts, max_window.count() + 1> counts_{};
    std::size_t target_count_;
    std::size_t pending_target_count_ =
        0;  ///< Largest number set since it fell below target_count_; 0 for none.
    steady_time count_fell_at_{};
};

}  // namespace teaselpitch
