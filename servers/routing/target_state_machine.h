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
    std::chrono::milliseconds initial_wait{1'000};
    std::chrono::milliseconds max_wait{300'000};
    std::chrono::milliseconds warm_up{10'000};
    std::chrono::milliseconds trial_step{2'000};  ///< Time without a relapse that each trial share requires.
    std::chrono::milliseconds wait_halving_time{60'000};  ///< Healthy time that halves the next wait.
};

/// State machine of one target in one node's view, based on Boost.MSM.
///
/// After a wait, an ejected target receives trial traffic of 1%, 5%, 25% and 100% of its fair share. Each
/// relapse doubles the wait up to `max_wait`, and each `wait_halving_time` of good health halves it again.
/// Not thread-safe; the owning ejector calls it with its lock held.
class target_state_machine {
public:
    /// `ready_since` is the time at which the target became ready and its warm-up started.
    target_state_machine(const time_source& clock, const target_state_options& options,
                         steady_time ready_since);
    target_state_machine(target_state_machine&&) noexcept;
    target_state_machine& operator=(target_state_machine&&) noexcept;
    ~target_state_machine();

    /// Ejects a warming, healthy or trial target and sets the wait before its next trial.
    void eject();
    /// Returns an ejected or trial target to its full share to meet the floor. The target stays on trial.
    void readmit();
    /// Removes the target from service permanently.
    void leave();
    /// Advances the warm-up, the wait and, when `trial_passing`, the trial. Call at least once a second.
    void on_tick(bool trial_passing);

    [[nodiscard]] target_state state() const;
    /// Returns the share of the fair traffic, 0 to 1. A warming target has 1; the target chooser applies the
    /// warm-up ramp.
    [[nodiscard]] double share() const;
    /// Returns true when the target counts as capacity in service: healthy or at the last step of the trial.
    [[nodiscard]] bool in_service() const;
    /// Returns the wait of the current or next ejection.
    [[nodiscard]] std::chrono::milliseconds wait() const;
    /// Returns the time since the last change of state or share.
    [[nodiscard]] std::chrono::nanoseconds time_in_state() const;

private:
    struct machine;
    std::unique_ptr<machine> machine_;
};

}  // namespace teaselpitch
