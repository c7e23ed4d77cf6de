#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace teaselpitch {

/// How much evidence a service wants before a target is ejected: column detection_policy of a service row.
enum class detection_policy : std::uint8_t {
    cautious,  ///< Few false ejections go before a short detection time.
    balanced,
    fast,  ///< A short detection time goes before few false ejections.
};

std::string_view to_string(detection_policy policy);
std::optional<detection_policy> parse_detection_policy(std::string_view text);

}  // namespace teaselpitch
