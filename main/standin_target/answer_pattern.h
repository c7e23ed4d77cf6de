#pragma once

#include <algorithm>
#include <cstdint>
#include <string>
#include <string_view>

#include "core/identity.h"

namespace teaselpitch {

/// A part of the checkable body of GET /work?bytes=N: byte i of the body is the letter at position
/// (stable_hash(call id) + i) % 26 of the alphabet, so a shifted, cut or foreign answer is recognised.
inline std::string answer_pattern(std::string_view call_id, std::uint64_t offset, std::size_t size) {
    const std::uint64_t start = stable_hash(call_id) % 26 + offset % 26;
    std::string text(size, '\0');
    std::uint64_t position = start;
    std::generate(text.begin(), text.end(), [&position] { return static_cast<char>('a' + position++ % 26); });
    return text;
}

}  // namespace teaselpitch
