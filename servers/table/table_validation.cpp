#include "servers/table/table_validation.h"

#include <algorithm>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>

#include "servers/table/columns.h"
#include "servers/table/traffic_split.h"

namespace teaselpitch {
namespace {

using issue_list = std::vector<table_issue>;

template <typename Row>
void add_issue(issue_list& issues, const Row& row, std::string column, std::string reason) {
    issues.push_back({Row::kind, format_key(Row::kind, row.key()), std::move(column), std::move(reason), 0});
}

void check_service_reference(const table& value, const auto& row, issue_list& issues) {
    if (!value.has_service(row.service)) {
        add_issue(issues, row, "service", "service \"" + row.service + "\" has no row");
    }
}

void check_row(const table&, const service_row& row, issue_list& issues) {
    if (row.queue_ms > row.timeout_ms) {
        add_issue(issues, row, "queue_ms", "exceeds timeout_ms of the row");
    }
    if (row.objective_latency_ms > row.timeout_ms) {
        add_issue(issues, row, "objective_latency_ms", "exceeds timeout_ms of the row");
    }
}

void check_row(const table& value, const route_row& row, issue_list& issues) {
    check_service_reference(value, row, issues);
    if (row.split.empty()) {
        return;
    }
    const auto parts = parse_split(row.split);
    if (!parts) {
        add_issue(issues, row, "split",
                  "is not SERVICE:WEIGHT|... with different services and a weight above 0");
        return;
    }
    for (const split_part& part : *parts) {
        if (!value.has_service(part.service)) {
            add_issue(issues, row, "split", "service \"" + part.service + "\" has no row");
        }
    }
}

void check_row(const table& value, const account_row& row, issue_list& issues) {
    if (row.service != wildcard) {
        check_service_reference(value, row, issues);
    }
}

void check_service_weights(const table& value, std::string_view service, issue_list& issues) {
    bool has_row = false;
    bool has_weight = false;
    value.services().for_each_of_service(service, [&](const service_row& row) {
        has_row = true;
        has_weight = has_weight || row.weight > 0;
    });
    if (has_row && !has_weight) {
        issues.push_back({row_kind::service, std::string(service), "weight",
                          "the service has no row with a weight above 0", 0});
    }
}

template <typename Row>
void check_rows(const table& value, issue_list& issues) {
    value.rows<Row>().for_each([&](const Row& row) { check_row(value, row, issues); });
}

template <typename Row>
void check_cells(const table& value, issue_list& issues) {
    for (const Row* row : value.rows<Row>().sorted()) {
        parse_row(Row::kind, cells_of(*row), issues);
    }
}

void check_changed_row(const table& after, const row_change& change, issue_list& issues) {
    if (!change.remove) {
        std::visit([&](const auto& row) { check_row(after, row, issues); }, change.row);
    }
}

std::set<std::string_view> changed_services(std::span<const row_change> changes) {
    std::set<std::string_view> services;
    for (const row_change& change : changes) {
        if (const auto* row = std::get_if<service_row>(&change.row)) {
            services.insert(row->service);
        }
    }
    return services;
}

}  // namespace

issue_list validate_table(const table& value) {
    issue_list issues;
    check_cells<service_row>(value, issues);
    check_cells<route_row>(value, issues);
    check_cells<account_row>(value, issues);
    const issue_list contradictions = find_contradictions(value);
    issues.insert(issues.end(), contradictions.begin(), contradictions.end());
    return issues;
}

issue_list find_contradictions(const table& value) {
    issue_list issues;
    check_rows<service_row>(value, issues);
    check_rows<route_row>(value, issues);
    check_rows<account_row>(value, issues);
    std::set<std::string_view> services;
    value.services().for_each([&services](const service_row& row) { services.insert(row.service); });
    for (const std::string_view service : services) {
        check_service_weights(value, service, issues);
    }
    // Sorted, so that every replica gives the same reason for the same rows.
    std::sort(issues.begin(), issues.end(), [](const table_issue& left, const table_issue& right) {
        return std::tie(left.kind, left.key, left.column) < std::tie(right.kind, right.key, right.column);
    });
    return issues;
}

issue_list find_duplicates(std::span<const row_change> changes) {
    issue_list issues;
    std::set<std::tuple<row_kind, row_key>> seen;
    for (const row_change& change : changes) {
        const row_kind kind = kind_of(change.row);
        const row_key key = key_of(change.row);
        if (!seen.insert({kind, key}).second) {
            issues.push_back({kind, format_key(kind, key), "", "the key occurs more than once", 0});
        }
    }
    return issues;
}

issue_list validate_changes(const table& before, std::span<const row_change> changes, const table& after) {
    issue_list issues = find_duplicates(changes);
    for (const row_change& change : changes) {
        const row_kind kind = kind_of(change.row);
        const row_key key = key_of(change.row);
        if (change.remove && !before.contains(kind, key)) {
            issues.push_back({kind, format_key(kind, key), "", "the row to remove does not exist", 0});
        }
    }
    const auto services = changed_services(changes);
    for (const std::string_view service : services) {
        // Any row may refer to a removed service, so the whole table is checked.
        if (!after.has_service(service) && before.has_service(service)) {
            const issue_list all = find_contradictions(after);
            issues.insert(issues.end(), all.begin(), all.end());
            return issues;
        }
    }
    for (const row_change& change : changes) {
        check_changed_row(after, change, issues);
    }
    for (const std::string_view service : services) {
        check_service_weights(after, service, issues);
    }
    return issues;
}

}  // namespace teaselpitch
