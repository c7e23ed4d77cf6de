#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselpitch {

/// Trade-off between detection time and false ejections of a service; column detection_policy of a service
/// row.
enum class detection_policy : std::uint8_t {
    cautious,  ///< Prefers few false ejections over a short detection time.
    balanced,
    fast,  ///< Prefers a short detection time over few false ejections.
};

std::string_view to_string(detection_policy policy);
std::optional<detection_policy> parse_detection_policy(std::string_view text);

}  // namespace teaselpitch
