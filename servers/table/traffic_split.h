#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace teaselpitch {

/// One part of a route's traffic.
struct split_part {
    std::string service;
    std::uint32_t weight = 0;

    bool operator==(const split_part&) const = default;
};

/// Parses the split column of a route row: SERVICE:WEIGHT|SERVICE:WEIGHT. Empty when the text is malformed,
/// names a service twice, or has no weight above 0.
std::optional<std::vector<split_part>> parse_split(std::string_view text);

/// The text form of the parts.
std::string format_split(std::span<const split_part> parts);

/// The part that a position in 0..1 falls into, by weight. Equal positions give equal parts.
const split_part& part_at(std::span<const split_part> parts, double position);

}  // namespace teaselpitch
