#include "servers/table/traffic_split.h"

#include <algorithm>
#include <charconv>

#include "absl/strings/str_split.h"

namespace teaselpitch {
namespace {

std::optional<split_part> parse_part(std::string_view text) {
    const std::size_t colon = text.find(':');
    if (colon == 0 || colon == std::string_view::npos) {
        return std::nullopt;
    }
    split_part part{std::string(text.substr(0, colon)), 0};
    const char* end = text.data() + text.size();
    const auto [parsed, error] = std::from_chars(text.data() + colon + 1, end, part.weight);
    if (error != std::errc{} || parsed != end) {
        return std::nullopt;
    }
    return part;
}

}  // namespace

std::optional<std::vector<split_part>> parse_split(std::string_view text) {
    std::vector<split_part> parts;
    std::uint64_t total = 0;
    for (const absl::string_view piece : absl::StrSplit(absl::string_view(text.data(), text.size()), '|')) {
        std::optional<split_part> part = parse_part({piece.data(), piece.size()});
        const auto same_service = [&part](const split_part& other) { return other.service == part->service; };
        if (!part || std::any_of(parts.begin(), parts.end(), same_service)) {
            return std::nullopt;
        }
        total += part->weight;
        parts.push_back(std::move(*part));
    }
    return total == 0 ? std::nullopt : std::optional(std::move(parts));
}

std::string format_split(std::span<const split_part> parts) {
    std::string text;
    for (const split_part& part : parts) {
        text += (text.empty() ? "" : "|") + part.service + ":" + std::to_string(part.weight);
    }
    return text;
}

const split_part& select_part(std::span<const split_part> parts, double position) {
    double total = 0;
    for (const split_part& part : parts) {
        total += part.weight;
    }
    double remaining = position * total;
    const split_part* chosen = &parts.front();
    for (const split_part& part : parts) {
        if (part.weight == 0) {
            continue;
        }
        chosen = &part;
        if ((remaining -= part.weight) < 0) {
            break;
        }
    }
    return *chosen;
}

}  // namespace teaselpitch
