#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>

#include "absl/container/flat_hash_map.h"
#include "core/identity.h"

namespace teaselpitch {

/// Transparent hash that allows lookups by std::string_view without a copy. Abseil's own hash requires
/// absl::string_view in the Debian build.
struct name_hash {
    using is_transparent = void;
    std::size_t operator()(std::string_view name) const { return stable_hash(name); }
};

/// Hash map keyed by name.
template <typename T>
using name_map = absl::flat_hash_map<std::string, T, name_hash, std::equal_to<>>;

}  // namespace teaselpitch
