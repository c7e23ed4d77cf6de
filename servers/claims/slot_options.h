#pragma once

#include <chrono>
#include <cstdint>

namespace teaselpitch {

/// The settings from which the times of the slots follow.
struct slot_settings {
    std::chrono::milliseconds lease{5'000};         ///< L: how long one proof of freshness lasts.
    std::chrono::milliseconds margin{2'000};        ///< Longest pause between the last check and the write.
    std::chrono::milliseconds retention{600'000};   ///< W: how long a key is protected after its run ended.
    std::chrono::milliseconds longest_run{60'000};  ///< Longest timeout of a route.
    double clock_error = 0.01;                      ///< Largest relative error of the rate of one clock.
};

/// Times on the clock of one node.
struct slot_options {
    std::chrono::nanoseconds lease{};
    std::chrono::nanoseconds margin{};
    /// From reading the own takeover until the first run: the former holder has stopped by then.
    std::chrono::nanoseconds takeover_wait{};
    /// From reading the own takeover until unmarked sends run: no key of the former holder is protected then.
    std::chrono::nanoseconds first_sends_window{};
    /// How long the ledger keeps a key after the end of its run.
    std::chrono::nanoseconds retention{};
    /// By how much a time that another node measured is stretched before it is waited for here.
    double stretch = 1;
};

/// Two clocks that are each within the error drift apart by about twice the error, so that a wait for an
/// interval of another node's clock is stretched by (1 + error) / (1 - error).
inline slot_options make_slot_options(const slot_settings& settings) {
    using std::chrono::nanoseconds;
    const auto scaled = [](std::chrono::milliseconds time, double factor) {
        return nanoseconds(
            static_cast<std::int64_t>(static_cast<double>(nanoseconds(time).count()) * factor));
    };
    const double stretch = (1 + settings.clock_error) / (1 - settings.clock_error);
    const auto stopped = settings.lease + settings.margin;
    return {.lease = settings.lease,
            .margin = settings.margin,
            .takeover_wait = scaled(stopped, stretch),
            .first_sends_window = scaled(settings.retention + settings.longest_run + stopped, stretch),
            .retention = scaled(settings.retention, 1 / (1 - settings.clock_error)),
            .stretch = stretch};
}

}  // namespace teaselpitch
