#pragma once

#include <optional>
#include <string>
#include <vector>

#include "core/wire/table.pb.h"
#include "servers/table/rows.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

/// The row as it stands on the log.
wire::TableRow to_wire(const any_row& row);
wire::RowChange to_wire(const row_change& change);

/// The changes of an edit; adds an issue for each cell that is refused.
std::vector<row_change> parse_changes(const wire::TableEdit& edit, std::vector<table_issue>& issues);

/// The row of a record; adds an issue for each cell that is refused. Empty for an unknown kind.
std::optional<any_row> parse_row_record(const wire::TableRow& record, std::vector<table_issue>& issues);

/// An edit or a slot change as the bytes of a log record; snapshot_codec.h writes snapshots.
std::string encode_record(const wire::TableEdit& edit);
std::string encode_record(const wire::SlotChange& change);

}  // namespace teaselpitch
