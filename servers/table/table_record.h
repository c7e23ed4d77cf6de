#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/wire/table.pb.h"
#include "servers/table/rows.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

/// Encodes a row or a change for the log.
wire::TableRow to_wire(const any_row& row);
wire::RowChange to_wire(const row_change& change);

/// Decodes the changes of an edit. Adds an issue for each invalid cell.
std::vector<row_change> parse_changes(const wire::TableEdit& edit, std::vector<table_issue>& issues);

/// Decodes a row. Adds an issue for each invalid cell. Empty for an unknown kind.
std::optional<any_row> parse_row_record(const wire::TableRow& record, std::vector<table_issue>& issues);

/// Encodes an edit or a slot change as a log record. See snapshot_codec.h for snapshots.
std::string encode_record(const wire::TableEdit& edit);
std::string encode_record(const wire::SlotChange& change);

}  // namespace teaselpitch
