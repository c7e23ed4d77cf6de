#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include "core/detection_policy.h"

namespace teaselpitch {

enum class row_kind : std::uint8_t { service, route, account };
inline constexpr std::array row_kinds{row_kind::service, row_kind::route, row_kind::account};

std::string_view to_string(row_kind kind);
std::optional<row_kind> parse_row_kind(std::string_view text);

/// Wildcard for every zone, host or service in a key.
inline constexpr std::string_view wildcard = "*";

/// Key cells of a row, as views into the row.
struct row_key {
    std::string_view first;
    std::string_view second;

    auto operator<=>(const row_key&) const = default;
};

/// Formats a key for messages: FIRST/SECOND, or HOST followed by the path prefix.
std::string format_key(row_kind kind, row_key key);

/// Whether requests of a route are non-idempotent and so must run only once; automatic depends on the method.
enum class non_idempotent_rule : std::uint8_t { automatic, yes, no };

std::string_view to_string(non_idempotent_rule value);

/// Who may send requests of a route when the configuration has client accounts.
enum class route_access : std::uint8_t { accounts, everyone };

/// Returns the name of a value; that of the default is empty.
std::string_view to_string(route_access value);

// The member initialisers of the rows are the defaults for blank cells.

/// Settings of a service in one availability zone, or in all zones without a row of their own.
struct service_row {
    static constexpr row_kind kind = row_kind::service;

    std::string service;
    std::string availability_zone{wildcard};
    std::uint32_t weight = 100;
    std::uint32_t limit = 0;   ///< Maximum concurrent requests of the service in the zone; 0 is no limit.
    std::uint32_t floor = 60;  ///< Minimum percentage of healthy capacity that ejection leaves in service.
    detection_policy policy = detection_policy::balanced;
    std::uint32_t timeout_ms = 10'000;
    std::uint32_t queue_ms = 100;
    std::uint32_t retry_budget_pct = 10;
    double objective_pct = 99.9;
    std::uint32_t objective_latency_ms = 0;  ///< 0 is no latency objective.
    std::string health_path{"/health"};      ///< Path of the health check that a node sends to a target.
    std::uint32_t connections = 0;  ///< Maximum connections to a target from all nodes; 0 is no limit.

    [[nodiscard]] row_key key() const { return {service, availability_zone}; }
    bool operator==(const service_row&) const = default;
};

/// Route of requests to a service, by host and longest path prefix.
struct route_row {
    static constexpr row_kind kind = row_kind::route;

    std::string host{wildcard};
    std::string path_prefix;
    std::string service;
    non_idempotent_rule non_idempotent = non_idempotent_rule::automatic;
    std::uint32_t timeout_ms = 0;    ///< 0 uses the timeout of the service.
    std::uint32_t attempts = 3;      ///< Maximum number of targets that one request may be sent to.
    std::uint32_t objective_ms = 0;  ///< Latency limit of the objective; 0 uses the objective of the service.
    std::uint32_t priority = 0;      ///< Requests with a lower number are served first.
    std::string split;  ///< Traffic split as SERVICE:WEIGHT|...; empty sends all requests to `service`.
    route_access access = route_access::accounts;

    [[nodiscard]] row_key key() const { return {host, path_prefix}; }
    bool operator==(const route_row&) const = default;
};

/// Maximum request rate of a client account for one service, or for all services together.
struct account_row {
    static constexpr row_kind kind = row_kind::account;

    std::string account;
    std::string service{wildcard};
    std::uint32_t requests_per_s = 0;  ///< 0 refuses every request.

    [[nodiscard]] row_key key() const { return {account, service}; }
    bool operator==(const account_row&) const = default;
};

using any_row = std::variant<service_row, route_row, account_row>;

row_kind kind_of(const any_row& row);
row_key key_of(const any_row& row);

/// Sets a row, or removes the row with the same key.
struct row_change {
    any_row row;
    bool remove = false;

    bool operator==(const row_change&) const = default;
};

}  // namespace teaselpitch
