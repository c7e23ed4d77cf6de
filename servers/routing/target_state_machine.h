#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string_view>

#include "core/clock.h"

namespace teaselpitch {

/// State of a target in one node's view.
enum class target_state : std::uint8_t { warming, healthy, ejected, trial, leaving };

std::string_view to_string(target_state state);

struct target_state_options {
    std::chrono::milliseconds first_wait{1'000};
    std::chrono::milliseconds longest_wait{300'000};
    std::chrono::milliseconds warm_up{10'000};
    std::chrono::milliseconds trial_step{2'000};          ///< Time without a relapse at each trial share.
    std::chrono::milliseconds wait_halves_after{60'000};  ///< Healthy time that halves the next wait.
};

/// The states of one target in one node's view and the transitions between them (Boost.MSM).
///
/// An ejected target waits, then gets trial traffic of 1%, 5%, 25% and 100% of its fair share. Each
/// relapse doubles the wait, up to the longest one; a long healthy time halves it again step by step.
/// Not thread-safe: the ejector that owns it holds its lock.
class target_state_machine {
public:
    /// `ready_since` is the time at which the target became ready; it warms up from there.
    target_state_machine(const time_source& clock, const target_state_options& options,
                         steady_time ready_since);
    target_state_machine(target_state_machine&&) noexcept;
    target_state_machine& operator=(target_state_machine&&) noexcept;
    ~target_state_machine();

    /// Ejects a warming, healthy or trial target and sets the wait until its next trial.
    void eject();
    /// Returns an ejected or trial target to its full share because of the floor; it stays on trial.
    void readmit();
    /// Takes the target out for good.
    void leave();
    /// Advances warm-up and waits and, when `passing`, the trial: call at least once a second.
    void on_tick(bool passing);

    [[nodiscard]] target_state state() const;
    /// Share of the fair traffic: 0 to 1. A warming target has 1; the chooser applies the ramp.
    [[nodiscard]] double share() const;
    /// Healthy, or at the last step of the trial: the target counts as capacity in service.
    [[nodiscard]] bool in_service() const;
    /// Wait of the current or next ejection.
    [[nodiscard]] std::chrono::milliseconds wait() const;
    /// Time since the last change of state or share.
    [[nodiscard]] std::chrono::nanoseconds in_state_for() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

}  // namespace teaselpitch
