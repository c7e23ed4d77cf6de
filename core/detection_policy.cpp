#include "core/detection_policy.h"

#include <array>
#include <cstddef>

namespace teaselpitch {
namespace {

constexpr std::array<std::string_view, 3> names{"cautious", "balanced", "fast"};

}  // namespace

std::string_view to_string(detection_policy policy) {
    return names[static_cast<std::size_t>(policy)];
}

std::optional<detection_policy> parse_detection_policy(std::string_view text) {
    for (std::size_t i = 0; i < names.size(); ++i) {
        if (names[i] == text) {
            return static_cast<detection_policy>(i);
        }
    }
    return std::nullopt;
}

}  // namespace teaselpitch
