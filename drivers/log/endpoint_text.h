#pragma once

#include <optional>
#include <string_view>

#include "core/identity.h"

namespace teaselpitch {

/// Parses ADDRESS:PORT with a numeric IP address; an IPv6 address stands in brackets. Empty when the
/// text has another form.
std::optional<endpoint> parse_endpoint(std::string_view text);

}  // namespace teaselpitch
