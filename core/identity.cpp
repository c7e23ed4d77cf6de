#include "core/identity.h"

#include <xxhash.h>

#include <string_view>

namespace teaselpitch {

std::string to_string(const endpoint& value) {
    return value.address + ":" + std::to_string(value.port);
}

std::uint64_t stable_hash(std::string_view text, std::uint64_t seed) {
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

}  // namespace teaselpitch
