#pragma once

#include <chrono>
#include <cstdint>

#include "main/ctl/ctl_context.h"

namespace teaselpitch {

/// Polls the nodes given with --node until each live node reports the version. Prints progress lines and, at
/// the timeout, the names of the nodes that lag behind. Returns the exit status.
int wait_for_version(ctl_context& context, std::uint64_t version, std::chrono::milliseconds timeout);

}  // namespace teaselpitch
