#include "drivers/peer/h2_stream.h"

#include <algorithm>

namespace teaselpitch {

std::optional<std::string_view> find_field(const h2_fields& fields, std::string_view name) {
    const auto found =
        std::find_if(fields.begin(), fields.end(), [name](const auto& field) { return field.first == name; });
    if (found == fields.end()) {
        return std::nullopt;
    }
    return found->second;
}

}  // namespace teaselpitch
