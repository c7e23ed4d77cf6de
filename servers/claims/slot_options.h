#pragma once

#include <chrono>
#include <cstdint>

namespace teaselpitch {

/// Settings from which slot_options are derived.
struct slot_settings {
    std::chrono::milliseconds lease{5'000};          ///< L: validity of one proof of freshness.
    std::chrono::milliseconds margin{2'000};         ///< Longest pause between the final check and the write.
    std::chrono::milliseconds retention{600'000};    ///< W: time for which a key is protected after its run.
    std::chrono::milliseconds max_run_time{60'000};  ///< Longest timeout of any route.
    double max_clock_rate_error = 0.01;              ///< Largest relative rate error of a clock.
};

/// Durations on the clock of one node.
struct slot_options {
    std::chrono::nanoseconds lease{};
    std::chrono::nanoseconds margin{};
    /// From reading the own takeover until the first run. By then the former holder has stopped.
    std::chrono::nanoseconds takeover_wait{};
    /// From reading the own takeover until sends that are not first sends may run. By then no key of the
    /// former holder is protected any more.
    std::chrono::nanoseconds first_sends_window{};
    /// Time for which the ledger stores a key after the end of its run.
    std::chrono::nanoseconds retention{};
    /// Factor applied to a duration measured by another node before this node waits for it.
    double clock_stretch_factor = 1;
};

/// Derives the durations from the settings. Two clocks that are each within the error drift apart by about
/// twice the error, so a wait for an interval of another node's clock is extended by (1 + error) / (1 -
/// error).
inline slot_options make_slot_options(const slot_settings& settings) {
    using std::chrono::nanoseconds;
    const auto scale = [](std::chrono::milliseconds time, double factor) {
        return nanoseconds(
            static_cast<std::int64_t>(static_cast<double>(nanoseconds(time).count()) * factor));
    };
    const double clock_stretch_factor =
        (1 + settings.max_clock_rate_error) / (1 - settings.max_clock_rate_error);
    const auto time_until_stopped = settings.lease + settings.margin;
    return {.lease = settings.lease,
            .margin = settings.margin,
            .takeover_wait = scale(time_until_stopped, clock_stretch_factor),
            .first_sends_window =
                scale(settings.retention + settings.max_run_time + time_until_stopped, clock_stretch_factor),
            .retention = scale(settings.retention, 1 / (1 - settings.max_clock_rate_error)),
            .clock_stretch_factor = clock_stretch_factor};
}

}  // namespace teaselpitch
