#include "servers/table/table.h"

#include <vector>

namespace teaselpitch {
namespace {

template <typename Row>
void apply_changes(row_store<Row>& rows, std::span<const row_change> changes) {
    std::vector<typename row_store<Row>::change> typed;
    for (const row_change& change : changes) {
        if (const Row* row = std::get_if<Row>(&change.row)) {
            typed.push_back({*row, change.remove});
        }
    }
    if (!typed.empty()) {
        rows.apply(std::move(typed));
    }
}

}  // namespace

const service_row* table::service(std::string_view service, std::string_view zone) const {
    const service_row* row = services_.find({service, zone});
    return row != nullptr ? row : services_.find({service, wildcard});
}

bool table::has_service(std::string_view service) const {
    bool found = false;
    services_.for_each_of_service(service, [&found](const service_row&) { found = true; });
    return found;
}

const route_row* table::route(std::string_view host, std::string_view path_prefix) const {
    return routes_.find({host, path_prefix});
}

const account_row* table::account(std::string_view account, std::string_view service) const {
    const account_row* row = accounts_.find({account, service});
    return row != nullptr ? row : accounts_.find({account, wildcard});
}

bool table::contains(row_kind kind, row_key key) const {
    switch (kind) {
        case row_kind::service:
            return services_.find(key) != nullptr;
        case row_kind::route:
            return routes_.find(key) != nullptr;
        case row_kind::account:
            break;
    }
    return accounts_.find(key) != nullptr;
}

table table::with_changes(std::span<const row_change> changes, std::uint64_t version) const {
    table result = with_version(version);
    apply_changes(result.services_, changes);
    apply_changes(result.routes_, changes);
    apply_changes(result.accounts_, changes);
    return result;
}

table table::with_version(std::uint64_t version) const {
    table result = *this;
    result.version_ = version;
    return result;
}

}  // namespace teaselpitch
