#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "main/load/load_options.h"

namespace teaselpitch {

/// A request with its scheduled send time.
struct planned_request {
    std::chrono::microseconds at{0};  ///< Send time since the start of the run.
    std::string call_id;
    std::string key;  ///< Idempotency key; empty if the request has none.
    bool is_post = false;
    bool is_first = true;    ///< False if an earlier request was sent with the same key.
    std::size_t host = 0;    ///< Index into load_options::hosts.
    std::size_t caller = 0;  ///< Index into load_options::callers.
};

/// Returns all requests of a run, sorted by send time. Arrivals are a Poisson process that the seed
/// determines. A request that is sent again uses another caller listener if there is more than one.
std::vector<planned_request> plan_arrivals(const load_options& options);

}  // namespace teaselpitch
