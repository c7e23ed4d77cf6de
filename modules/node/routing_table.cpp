#include "modules/node/routing_table.h"

#include <utility>
#include <vector>

namespace teaselpitch {
namespace {

constexpr double percent = 100.0;

idempotency_rule to_rule(non_idempotent_rule rule) {
    switch (rule) {
        case non_idempotent_rule::yes:
            return idempotency_rule::non_idempotent;
        case non_idempotent_rule::no:
            return idempotency_rule::idempotent;
        case non_idempotent_rule::automatic:
            break;
    }
    return idempotency_rule::automatic;
}

std::vector<route_entry> route_entries(const table& rows) {
    std::vector<route_entry> entries;
    entries.reserve(rows.routes().size());
    rows.routes().for_each([&entries](const route_row& row) {
        entries.push_back({.host = row.host,
                           .path_prefix = row.path_prefix,
                           .service = row.service,
                           .rule = to_rule(row.non_idempotent),
                           .timeout = std::chrono::milliseconds{row.timeout_ms},
                           .attempts = row.attempts,
                           .objective = std::chrono::milliseconds{row.objective_ms},
                           .priority = row.priority,
                           .split = parse_split(row.split).value_or(std::vector<split_part>{}),
                           .is_public = row.access == route_access::everyone});
    });
    return entries;
}

}  // namespace

routing_table::routing_table(std::shared_ptr<const table> rows, std::string zone,
                             std::shared_ptr<const account_directory> accounts)
    : rows_(std::move(rows)),
      zone_(std::move(zone)),
      accounts_(std::move(accounts)),
      routes_(route_entries(*rows_)) {}

std::chrono::milliseconds routing_table::timeout_of(const route_match& match) const {
    if (match.timeout.count() > 0) {
        return match.timeout;
    }
    const service_row* row = rows_->service(match.service, zone_);
    return std::chrono::milliseconds{row == nullptr ? 0 : row->timeout_ms};
}

service_rules routing_table::rules_of(std::string_view service) const {
    service_rules rules;
    rows_->services().for_each_of_service(service, [&rules](const service_row& row) {
        const bool all_zones = row.availability_zone == wildcard;
        rules.zones.push_back({.zone = all_zones ? std::string() : row.availability_zone,
                               .weight = row.weight / percent,
                               .limit = row.limit,
                               .floor_share = row.floor / percent});
    });
    if (const service_row* row = rows_->service(service, zone_)) {
        rules.retry_budget_share = row->retry_budget_pct / percent;
    }
    return rules;
}

service_admission routing_table::admission_of(std::string_view service) const {
    service_admission result;
    if (const service_row* row = rows_->service(service, zone_)) {
        result.max_wait = std::chrono::milliseconds{row->queue_ms};
        result.policy = row->policy;
    }
    return result;
}

std::chrono::milliseconds routing_table::latency_objective_of(std::string_view service) const {
    const service_row* row = rows_->service(service, zone_);
    if (row == nullptr || row->objective_latency_ms == 0) {
        return std::chrono::hours{24};
    }
    return std::chrono::milliseconds{row->objective_latency_ms};
}

}  // namespace teaselpitch
