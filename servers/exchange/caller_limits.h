#pragma once

#include <chrono>
#include <cstdint>

namespace teaselpitch {

/// Limits on the size and duration of a caller's requests. They can change with the configuration while a
/// node runs.
struct caller_limits {
    std::uint32_t max_header_bytes = 16 * 1024;        ///< Request line and header fields.
    std::uint64_t max_body_bytes = 1ULL << 30;         ///< Bodies with a content length and chunked bodies.
    std::chrono::milliseconds header_timeout{10'000};  ///< From the first byte to the end of the header.
    std::chrono::milliseconds idle_timeout{60'000};    ///< Between two requests of a connection.

    bool operator==(const caller_limits&) const = default;
};

}  // namespace teaselpitch
