#include "servers/admission/deadline.h"

#include <algorithm>
#include <charconv>

namespace teaselpitch {

using std::chrono::microseconds;
using std::chrono::milliseconds;

std::optional<milliseconds> parse_timeout(std::string_view text) {
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{} || end != text.data() + text.size() || number == 0) {
        return std::nullopt;
    }
    const auto longest = static_cast<std::uint64_t>(milliseconds(max_timeout).count());
    return milliseconds(static_cast<std::int64_t>(std::min(number, longest)));
}

steady_time compute_deadline(steady_time arrival, std::optional<milliseconds> caller_timeout,
                             milliseconds route_timeout) {
    return arrival + std::min(caller_timeout.value_or(route_timeout), route_timeout);
}

microseconds remaining_time(const time_source& clock, steady_time deadline) {
    return std::max(std::chrono::floor<microseconds>(deadline - clock.now()), microseconds{0});
}

std::optional<microseconds> time_for_next_hop(const time_source& clock, steady_time deadline) {
    const microseconds left = remaining_time(clock, deadline) - hop_time_reserve;
    return left > microseconds{0} ? std::optional(left) : std::nullopt;
}

steady_time deadline_from_remaining(const time_source& clock, microseconds remaining) {
    return clock.now() + std::min<microseconds>(remaining, max_timeout);
}

std::optional<std::uint64_t> target_timeout_ms(const time_source& clock, steady_time deadline) {
    const auto left = std::chrono::floor<milliseconds>(remaining_time(clock, deadline));
    return left >= milliseconds{1} ? std::optional(static_cast<std::uint64_t>(left.count())) : std::nullopt;
}

}  // namespace teaselpitch
