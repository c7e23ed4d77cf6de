#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "servers/routing/name_map.h"
#include "servers/table/traffic_split.h"

namespace teaselpitch {

/// Values of the column non_idempotent of a route row.
enum class idempotency_rule : std::uint8_t {
    automatic,       ///< POST and PATCH are non-idempotent.
    non_idempotent,  ///< Every method is non-idempotent.
    idempotent,      ///< Every method is idempotent.
};

/// One route of the table.
struct route_entry {
    std::string host;  ///< Host without port, case-insensitive; "*" matches any host.
    std::string
        path_prefix;  ///< Starts with a slash. "/a/" selects "/a/" and the paths below it, "/a" also "/a".
    std::string service;
    idempotency_rule rule = idempotency_rule::automatic;
    std::chrono::milliseconds timeout{0};
    std::uint32_t attempts = 3;              ///< Maximum number of targets that one request is sent to.
    std::chrono::milliseconds objective{0};  ///< Latency objective; 0 when the route has none.
    std::uint32_t priority = 0;              ///< Lower numbers are served first.
    std::vector<split_part> split{};         ///< Empty when all requests go to `service`.
    bool is_public = false;                  ///< Requests need no key of a client account.
};

/// The route of one request. The views refer to the index and are valid for its lifetime.
struct route_match {
    std::string_view service;
    std::string_view path_prefix;
    bool non_idempotent = false;
    std::chrono::milliseconds timeout{0};
    std::uint32_t attempts = 3;
    std::chrono::milliseconds objective{0};
    std::uint32_t priority = 0;
    std::span<const split_part> split{};
    bool is_public = false;
};

/// Returns true when the rule makes a request with this method non-idempotent.
bool is_non_idempotent(idempotency_rule rule, std::string_view method);

/// Immutable index from host and path to route. Threads share it without a lock.
///
/// An exact host is searched before "*". When none of its prefixes matches, the prefixes of "*" are searched.
/// Of two routes with the same host and prefix, the first one applies. A prefix with a trailing slash is
/// longer than the same prefix without it.
class route_index {
public:
    explicit route_index(std::span<const route_entry> routes);

    /// Finds the route with the longest prefix that ends at a path segment boundary, ignoring the query
    /// string. Does not allocate.
    [[nodiscard]] std::optional<route_match> find(std::string_view host, std::string_view path,
                                                  std::string_view method) const;

    /// Returns the number of distinct pairs of host and prefix.
    [[nodiscard]] std::size_t size() const { return routes_.size(); }

private:
    struct host_routes {
        name_map<std::uint32_t> by_prefix;
        std::size_t longest_prefix = 0;
    };

    [[nodiscard]] const route_entry* find_in_host(std::string_view host, std::string_view path) const;

    std::vector<route_entry> routes_;
    name_map<host_routes> hosts_;
};

}  // namespace teaselpitch
