#pragma once

#include <span>
#include <string>
#include <vector>

#include "core/wire/table.pb.h"
#include "servers/table/table.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

/// The row as it stands on the log.
wire::TableRow to_wire(const any_row& row);
wire::RowChange to_wire(const row_change& change);

/// The changes of an edit; adds an issue for each cell that is refused.
std::vector<row_change> parse_changes(const wire::TableEdit& edit, std::vector<table_issue>& issues);

/// The table of a snapshot; adds an issue for each error, contradictions included.
table parse_snapshot_rows(const wire::Snapshot& snapshot, std::vector<table_issue>& issues);

/// Adds all rows of the table to the snapshot.
void add_rows(const table& value, wire::Snapshot& snapshot);

/// An edit as the bytes of a log record.
std::string encode_record(const wire::TableEdit& edit);
std::string encode_record(const wire::Snapshot& snapshot);
std::string encode_record(const wire::SlotChange& change);

}  // namespace teaselpitch
