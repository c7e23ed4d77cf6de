#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/wire/table.pb.h"
#include "servers/table/table.h"
#include "servers/table/table_issue.h"

namespace teaselpitch {

// Snapshots are written and read in pieces. As one protobuf object the rows of 320,000 accounts took 110 MB
// more than the table itself, against 64 MB that a node may use for control.

/// The bytes of a wire::Snapshot with the fields of `head` and the rows of the table.
std::string encode_snapshot(const wire::Snapshot& head, const table& value);

/// The bytes of a wire::LogRecord that holds the encoded snapshot.
std::string encode_snapshot_record(std::string_view snapshot);

/// The encoded snapshot inside the bytes of a wire::LogRecord; empty for records of another kind.
std::optional<std::string_view> find_snapshot(std::string_view record);

/// The fields of an encoded snapshot except its rows; empty when the bytes are malformed.
std::optional<wire::Snapshot> read_snapshot_head(std::string_view snapshot);

/// The rows of an encoded snapshot; adds an issue for each error, contradictions included.
table read_snapshot_rows(std::string_view snapshot, std::uint64_t version, std::vector<table_issue>& issues);

}  // namespace teaselpitch
