#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"

namespace teaselpitch {

/// Another gate of a service.
struct digest_gate {
    endpoint peer;
    std::string zone;
};

struct digest_recipient_options {
    std::size_t periodic_fanout =
        4;  ///< A small sample is enough to estimate the median of the other targets.
    std::size_t suspicious_fanout = 8;  ///< While a target of this node looks suspicious.
    /// Number of other targets that are enough for a comparison.
    std::size_t min_compared_targets = 2;
    /// Between digests to other zones while a target looks suspicious. Shorter than the time for which a
    /// received summary is used.
    std::chrono::milliseconds remote_interval{1'000};
};

enum class digest_occasion : std::uint8_t { periodic, suspicious_target };

/// Chooses the gates that a gate exchanges health digests with.
///
/// Digests stay within the availability zone, because they are sent all the time and traffic between zones is
/// scarce. Other zones are asked only while a target looks suspicious and this zone has too few targets of
/// the service to tell a faulty target from a service that became slow everywhere. Not thread-safe.
class digest_recipients {
public:
    digest_recipients(const time_source& clock, std::string local_zone, std::uint64_t seed,
                      digest_recipient_options options = {});

    /// Returns the gates to send a digest of the service to now. `gates` are all other gates of the service.
    std::vector<endpoint> choose(std::string_view service, std::span<const digest_gate> gates,
                                 digest_occasion occasion);

private:
    const time_source& clock_;
    const std::string local_zone_;
    const digest_recipient_options options_;
    std::mt19937_64 random_;
    std::unordered_map<std::string, steady_time> last_remote_;  ///< Latest digest to other zones by service.
};

}  // namespace teaselpitch
