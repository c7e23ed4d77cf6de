#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/identity.h"

namespace teaselpitch {

/// Returns `size` bytes, from `offset` on, of the body of the answer to GET /work?bytes=N. Byte i of the body
/// is the letter at position (stable_hash(call_id) + i) % 26 of the alphabet, so that a checker detects a
/// body that is shifted, truncated or belongs to another call.
inline std::string answer_pattern(std::string_view call_id, std::uint64_t offset, std::size_t size) {
    const std::uint64_t start = stable_hash(call_id) % 26 + offset % 26;
    std::string text(size, '\0');
    std::uint64_t position = start;
    std::generate(text.begin(), text.end(), [&position] { return static_cast<char>('a' + position++ % 26); });
    return text;
}

}  // namespace teaselpitch
