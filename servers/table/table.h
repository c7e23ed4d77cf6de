#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include "servers/table/row_store.h"
#include "servers/table/rows.h"

namespace teaselpitch {

/// One version of the configuration, an immutable value. Copies share their rows.
class table {
public:
    /// The empty table, version 0.
    table() = default;

    [[nodiscard]] std::uint64_t version() const { return version_; }

    /// Returns the row of the zone, otherwise the row for all zones; null when there is neither.
    [[nodiscard]] const service_row* service(std::string_view service, std::string_view zone) const;
    [[nodiscard]] bool has_service(std::string_view service) const;

    /// Returns the row with exactly this key, or null. Requests are matched by the route index.
    [[nodiscard]] const route_row* route(std::string_view host, std::string_view path_prefix) const;

    /// Returns the account's row for the service, otherwise its row for all services; null when there is
    /// neither.
    [[nodiscard]] const account_row* account(std::string_view account, std::string_view service) const;

    [[nodiscard]] const row_store<service_row>& services() const { return services_; }
    [[nodiscard]] const row_store<route_row>& routes() const { return routes_; }
    [[nodiscard]] const row_store<account_row>& accounts() const { return accounts_; }

    /// Rows of one type.
    template <typename Row>
    [[nodiscard]] const row_store<Row>& rows() const;

    [[nodiscard]] bool contains(row_kind kind, row_key key) const;

    /// Returns a copy of the table with the changes applied and the given version.
    [[nodiscard]] table with_changes(std::span<const row_change> changes, std::uint64_t version) const;

    /// Returns a table with the same rows and another version.
    [[nodiscard]] table with_version(std::uint64_t version) const;

private:
    std::uint64_t version_ = 0;
    row_store<service_row> services_;
    row_store<route_row> routes_;
    row_store<account_row> accounts_;
};

template <>
inline const row_store<service_row>& table::rows<service_row>() const {
    return services_;
}
template <>
inline const row_store<route_row>& table::rows<route_row>() const {
    return routes_;
}
template <>
inline const row_store<account_row>& table::rows<account_row>() const {
    return accounts_;
}

}  // namespace teaselpitch
