#include "servers/table/table_record.h"

#include <optional>

#include "servers/table/columns.h"
#include "servers/table/table_validation.h"

namespace teaselpitch {
namespace {

std::optional<row_change> parse_change(const wire::TableRow& row, bool remove,
                                       std::vector<table_issue>& issues) {
    const auto kind = parse_row_kind(row.kind());
    if (!kind) {
        issues.push_back({row_kind::service, "", "", "unknown row kind \"" + row.kind() + "\"", 0});
        return std::nullopt;
    }
    const std::vector<std::string> cells(row.cells().begin(), row.cells().end());
    return row_change{remove ? parse_row_key(*kind, cells, issues) : parse_row(*kind, cells, issues), remove};
}

template <typename Row>
void add_typed_rows(const table& value, wire::Snapshot& snapshot) {
    for (const Row* row : value.rows<Row>().sorted()) {
        *snapshot.add_rows() = to_wire(any_row(*row));
    }
}

}  // namespace

wire::TableRow to_wire(const any_row& row) {
    wire::TableRow record;
    record.set_kind(std::string(to_string(kind_of(row))));
    for (std::string& cell : cells_of(row)) {
        record.add_cells(std::move(cell));
    }
    return record;
}

wire::RowChange to_wire(const row_change& change) {
    wire::RowChange record;
    *record.mutable_row() = to_wire(change.row);
    record.set_remove(change.remove);
    return record;
}

std::vector<row_change> parse_changes(const wire::TableEdit& edit, std::vector<table_issue>& issues) {
    std::vector<row_change> changes;
    for (const wire::RowChange& change : edit.changes()) {
        if (auto parsed = parse_change(change.row(), change.remove(), issues)) {
            changes.push_back(std::move(*parsed));
        }
    }
    return changes;
}

table parse_snapshot_rows(const wire::Snapshot& snapshot, std::vector<table_issue>& issues) {
    std::vector<row_change> rows;
    for (const wire::TableRow& row : snapshot.rows()) {
        if (auto parsed = parse_change(row, false, issues)) {
            rows.push_back(std::move(*parsed));
        }
    }
    const auto duplicates = find_duplicates(rows);
    issues.insert(issues.end(), duplicates.begin(), duplicates.end());
    table value = table().with(rows, snapshot.version());
    if (issues.empty()) {
        issues = find_contradictions(value);
    }
    return value;
}

void add_rows(const table& value, wire::Snapshot& snapshot) {
    add_typed_rows<service_row>(value, snapshot);
    add_typed_rows<route_row>(value, snapshot);
    add_typed_rows<account_row>(value, snapshot);
}

std::string encode_record(const wire::TableEdit& edit) {
    wire::LogRecord record;
    *record.mutable_edit() = edit;
    return record.SerializeAsString();
}

std::string encode_record(const wire::Snapshot& snapshot) {
    wire::LogRecord record;
    *record.mutable_snapshot() = snapshot;
    return record.SerializeAsString();
}

std::string encode_record(const wire::SlotChange& change) {
    wire::LogRecord record;
    *record.mutable_slots() = change;
    return record.SerializeAsString();
}

}  // namespace teaselpitch
