#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "core/identity.h"

namespace teaselpitch {

/// Shares of the request kinds. The remaining requests are POST requests with an idempotency key.
struct request_mix {
    double get = 0.6;
    double unkeyed_post = 0.2;
    double resent = 0.2;  ///< Share of the keyed requests that are sent a second time.
};

/// A stand-in target whose executions are collected at the end of the run.
struct named_target {
    std::string name;
    endpoint address;
};

struct load_options {
    std::vector<endpoint> callers;
    std::vector<std::string> hosts;
    std::vector<endpoint> nodes;  ///< Admin listeners whose status is sampled.
    std::vector<named_target> targets;
    double rate = 100;  ///< Arrivals per second.
    std::chrono::milliseconds duration{10'000};
    std::chrono::milliseconds warm_up{0};  ///< Calls of this initial time are checked but not measured.
    request_mix mix;
    std::chrono::milliseconds resend_after{50};
    std::chrono::milliseconds timeout{5'000};
    std::size_t body_bytes = 64;
    std::string account;
    std::uint64_t seed = 1;
    std::size_t threads = 1;
};

}  // namespace teaselpitch
