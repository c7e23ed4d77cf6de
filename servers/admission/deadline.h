#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string_view>

#include "core/clock.h"

namespace teaselpitch {

/// Largest timeout that a caller may ask for; longer ones are cut.
constexpr std::chrono::hours max_timeout{1};

/// Time of one hop that is kept back, so that a refusal of the next hop can still be passed on.
constexpr std::chrono::milliseconds hop_reserve{2};

/// Parses Teaselpitch-Timeout-Ms: a whole number of milliseconds above zero; empty for any other text.
std::optional<std::chrono::milliseconds> parse_timeout(std::string_view text);

/// The deadline of a request: the smaller of the caller's and the route's timeout from its arrival.
steady_time deadline_from(steady_time arrival, std::optional<std::chrono::milliseconds> caller_timeout,
                          std::chrono::milliseconds route_timeout);

/// Time left; zero when the deadline has passed.
std::chrono::microseconds remaining_time(const time_source& clock, steady_time deadline);

/// What travels to the next node: the time left without the reserve; empty when nothing useful is left, in
/// which case the request is answered as deadline_expired.
std::optional<std::chrono::microseconds> time_for_next_hop(const time_source& clock, steady_time deadline);

/// The deadline on this node's clock of a request that arrived with this time left.
steady_time deadline_of_hop(const time_source& clock, std::chrono::microseconds remaining);

/// Value of Teaselpitch-Timeout-Ms for the target: whole milliseconds, rounded down; empty below one.
std::optional<std::uint64_t> timeout_for_target(const time_source& clock, steady_time deadline);

}  // namespace teaselpitch
