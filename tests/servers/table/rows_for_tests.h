#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "servers/table/table_record.h"

namespace teaselpitch::table_tests {

inline row_change set_service(std::string name, std::uint32_t weight = 100, std::string zone = "*") {
    service_row row;
    row.service = std::move(name);
    row.availability_zone = std::move(zone);
    row.weight = weight;
    return {row, false};
}

inline row_change set_route(std::string host, std::string prefix, std::string service) {
    route_row row;
    row.host = std::move(host);
    row.path_prefix = std::move(prefix);
    row.service = std::move(service);
    return {row, false};
}

inline row_change set_account(std::string account, std::string service, std::uint32_t rate = 10) {
    return {account_row{std::move(account), std::move(service), rate}, false};
}

inline row_change removal(row_change change) {
    change.remove = true;
    return change;
}

inline wire::TableEdit make_edit(std::string id, std::uint64_t base, const std::vector<row_change>& changes) {
    wire::TableEdit edit;
    edit.set_edit_id(std::move(id));
    edit.set_author("ana");
    edit.set_base_version(base);
    for (const row_change& change : changes) {
        *edit.add_changes() = to_wire(change);
    }
    return edit;
}

inline wire::SlotChange make_slot_change(std::uint64_t previous, const std::string& holder,
                                         const std::string& candidate, const std::string& appender) {
    wire::SlotChange change;
    wire::SlotAssignment& assignment = *change.add_assignments();
    assignment.set_service("limits");
    assignment.set_slot(3);
    assignment.set_previous_epoch(previous);
    assignment.mutable_holder()->set_name(holder);
    assignment.add_candidates()->set_name(candidate);
    change.mutable_appender()->set_name(appender);
    return change;
}

}  // namespace teaselpitch::table_tests
