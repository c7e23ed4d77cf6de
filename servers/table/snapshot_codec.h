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

// Snapshots are encoded and decoded in chunks. A single protobuf message with the rows of 320,000 accounts
// took 110 MB in addition to the table, above the 64 MB that a node may use for its control plane.

/// Encodes a wire::Snapshot with the fields of `head` and the rows of the table.
std::string encode_snapshot(const wire::Snapshot& head, const table& value);

/// Encodes a wire::LogRecord that contains an encoded snapshot.
std::string encode_snapshot_record(std::string_view snapshot);

/// Returns the encoded snapshot within an encoded wire::LogRecord; empty for records of another kind.
std::optional<std::string_view> find_snapshot(std::string_view record);

/// Decodes the fields of an encoded snapshot except its rows; empty when the bytes are malformed.
std::optional<wire::Snapshot> read_snapshot_header(std::string_view snapshot);

/// Decodes the rows of an encoded snapshot. Adds an issue for each error, including contradictions.
table read_snapshot_rows(std::string_view snapshot, std::uint64_t version, std::vector<table_issue>& issues);

}  // namespace teaselpitch
