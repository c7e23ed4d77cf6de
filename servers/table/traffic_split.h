#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselpitch {

/// Share of a service in the traffic of a route.
struct split_part {
    std::string service;
    std::uint32_t weight = 0;

    bool operator==(const split_part&) const = default;
};

/// Parses the split column of a route row: SERVICE:WEIGHT|SERVICE:WEIGHT. Empty when the text is malformed,
/// names a service twice, or has no weight above 0.
std::optional<std::vector<split_part>> parse_split(std::string_view text);

/// Formats the parts as the text of the split column.
std::string format_split(std::span<const split_part> parts);

/// Returns the part for a position from 0 to 1 by cumulative weight. Equal positions select the same part.
const split_part& select_part(std::span<const split_part> parts, double position);

}  // namespace teaselpitch
