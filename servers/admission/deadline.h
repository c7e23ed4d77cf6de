#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.h"

namespace teaselpitch {

/// Maximum timeout that a caller may request; longer ones are reduced to it.
constexpr std::chrono::hours max_timeout{1};

/// Time that each hop reserves, so that it can still return a refusal of the next hop to the caller.
constexpr std::chrono::milliseconds hop_time_reserve{2};

/// Parses Teaselpitch-Timeout-Ms, a positive whole number of milliseconds; empty for any other text.
std::optional<std::chrono::milliseconds> parse_timeout(std::string_view text);

/// Returns the deadline of a request: its arrival plus the smaller of the caller's and the route's timeout.
steady_time compute_deadline(steady_time arrival, std::optional<std::chrono::milliseconds> caller_timeout,
                             std::chrono::milliseconds route_timeout);

/// Returns the time until the deadline; zero when it has passed.
std::chrono::microseconds remaining_time(const time_source& clock, steady_time deadline);

/// Returns the time to send to the next node: the remaining time without the reserve. Empty when none is
/// left; the request is then answered with deadline_expired.
std::optional<std::chrono::microseconds> time_for_next_hop(const time_source& clock, steady_time deadline);

/// Returns the deadline on this node's clock of a request that was received with this remaining time.
steady_time deadline_from_remaining(const time_source& clock, std::chrono::microseconds remaining);

/// Returns the value of Teaselpitch-Timeout-Ms for the target, in whole milliseconds rounded down; empty when
/// less than one is left.
std::optional<std::uint64_t> target_timeout_ms(const time_source& clock, steady_time deadline);

}  // namespace teaselpitch
