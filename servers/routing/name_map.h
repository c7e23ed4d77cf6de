#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "core/identity.h"

namespace teaselpitch {

/// Hash that finds a key by a view without a copy; absl's own one needs absl::string_view in Debian's build.
struct name_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const { return stable_hash(name); }
};

/// Hash map with names as keys.
template <typename T>
using name_map = absl::flat_hash_map<std::string, T, name_hash, std::equal_to<>>;

}  // namespace teaselpitch
