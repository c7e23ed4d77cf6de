#pragma once

#include <chrono>
#include <cstdint>

namespace teaselpitch {

/// What a caller may send and how long it may take. The configuration can change these while a node runs.
struct caller_limits {
    std::uint32_t max_header_bytes = 16 * 1024;        ///< Request line and fields.
    std::uint64_t max_body_bytes = 1ULL << 30;         ///< Sized and chunked bodies.
    std::chrono::milliseconds header_timeout{10'000};  ///< First byte to end of the header.
    std::chrono::milliseconds idle_timeout{60'000};    ///< Between two requests.

    bool operator==(const caller_limits&) const = default;
};

}  // namespace teaselpitch
