#include "servers/table/table_record.h"

#include <utility>

#include "servers/table/columns.h"

namespace teaselpitch {
namespace {

std::optional<any_row> parse_record(const wire::TableRow& record, bool key_only,
                                    std::vector<table_issue>& issues) {
    const auto kind = parse_row_kind(record.kind());
    if (!kind) {
        issues.push_back({row_kind::service, "", "", "unknown row kind \"" + record.kind() + "\"", 0});
        return std::nullopt;
    }
    const std::vector<std::string> cells(record.cells().begin(), record.cells().end());
    return key_only ? parse_row_key(*kind, cells, issues) : parse_row(*kind, cells, issues);
}

}  // namespace

std::optional<any_row> parse_row_record(const wire::TableRow& record, std::vector<table_issue>& issues) {
    return parse_record(record, false, issues);
}

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
        if (auto row = parse_record(change.row(), change.remove(), issues)) {
            changes.push_back({std::move(*row), change.remove()});
        }
    }
    return changes;
}

std::string encode_record(const wire::TableEdit& edit) {
    wire::LogRecord record;
    *record.mutable_edit() = edit;
    return record.SerializeAsString();
}

std::string encode_record(const wire::SlotChange& change) {
    wire::LogRecord record;
    *record.mutable_slots() = change;
    return record.SerializeAsString();
}

}  // namespace teaselpitch
