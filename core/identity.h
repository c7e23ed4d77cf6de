#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "absl/status/statusor.h"

namespace teaselpitch {

/// One incarnation of a node: a restarted process has the same name and a higher incarnation.
struct node_identity {
    std::string name;
    std::uint64_t incarnation = 0;  ///< Wall-clock microseconds at the start of the process.

    auto operator<=>(const node_identity&) const = default;
};

/// One incarnation of a target.
struct target_identity {
    std::string name;
    std::uint64_t incarnation = 0;

    auto operator<=>(const target_identity&) const = default;
};

/// A TCP or UDP endpoint with a numeric IP address.
struct endpoint {
    std::string address;  ///< Numeric IP address, never a host name.
    std::uint16_t port = 0;

    auto operator<=>(const endpoint&) const = default;
};

/// Formats an endpoint as ADDRESS:PORT, with brackets around an IPv6 address.
std::string to_string(const endpoint& value);

/// Parses ADDRESS:PORT. Fails with InvalidArgument when the address is not a numeric IP address or the port
/// is not in 0..65535.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// Like parse_endpoint(), but also fails for port 0, to which no connection can be opened.
absl::StatusOr<endpoint> parse_remote_endpoint(std::string_view text);

/// 64-bit hash that is identical in every process and build.
std::uint64_t stable_hash(std::string_view text, std::uint64_t seed = 0);

}  // namespace teaselpitch
