#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "main/load/load_options.h"

namespace teaselpitch {

/// One send at its scheduled moment.
struct planned_send {
    std::chrono::microseconds at{0};  ///< Since the start of the run.
    std::string call_id;
    std::string key;  ///< Empty without a key.
    bool post = false;
    bool first = true;       ///< False for a re-send of a key.
    std::size_t host = 0;    ///< Index into load_options::hosts.
    std::size_t caller = 0;  ///< Index into load_options::callers.
};

/// All sends of a run in the order of their moments: Poisson arrivals of the seed, each re-send at another
/// caller listener when there is one.
std::vector<planned_send> plan_arrivals(const load_options& options);

}  // namespace teaselpitch
