#include "servers/table/snapshot_codec.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>
#include <google/protobuf/wire_format_lite.h>

#include <cstddef>

#include "servers/table/table_record.h"
#include "servers/table/table_validation.h"

namespace teaselpitch {
namespace {

using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;
using google::protobuf::io::CodedOutputStream;
using google::protobuf::io::StringOutputStream;

constexpr std::uint32_t delimited_tag(int field) {
    return static_cast<std::uint32_t>(field) << 3U | WireFormatLite::WIRETYPE_LENGTH_DELIMITED;
}

constexpr std::uint32_t row_tag = delimited_tag(wire::Snapshot::kRowsFieldNumber);
constexpr std::uint32_t snapshot_tag = delimited_tag(wire::LogRecord::kSnapshotFieldNumber);

// Maximum number of rows in memory as messages or as changes at a time.
constexpr std::size_t rows_per_chunk = 32'768;

CodedInputStream make_reader(std::string_view bytes) {
    return CodedInputStream(reinterpret_cast<const std::uint8_t*>(bytes.data()),
                            static_cast<int>(bytes.size()));
}

template <typename Row>
void append_rows(const table& value, std::string& bytes) {
    wire::Snapshot chunk;
    for (const Row* row : value.rows<Row>().sorted()) {
        *chunk.add_rows() = to_wire(any_row(*row));
        if (static_cast<std::size_t>(chunk.rows_size()) == rows_per_chunk) {
            chunk.AppendToString(&bytes);
            chunk.Clear();
        }
    }
    chunk.AppendToString(&bytes);
}

// Visits the bytes of each row and appends all other fields to `rest`. Returns false for malformed bytes.
template <typename Visitor>
bool visit_rows(std::string_view snapshot, std::string& rest, Visitor&& visit_row) {
    CodedInputStream reader = make_reader(snapshot);
    for (;;) {
        const int start = reader.CurrentPosition();
        const std::uint32_t tag = reader.ReadTag();
        if (tag == 0) {
            return reader.ConsumedEntireMessage() &&
                   reader.CurrentPosition() == static_cast<int>(snapshot.size());
        }
        if (tag != row_tag) {
            if (!WireFormatLite::SkipField(&reader, tag)) {
                return false;
            }
            rest.append(snapshot.substr(start, reader.CurrentPosition() - start));
            continue;
        }
        std::uint32_t size = 0;
        if (!reader.ReadVarint32(&size)) {
            return false;
        }
        const auto row = snapshot.substr(reader.CurrentPosition(), size);
        if (row.size() != size || !reader.Skip(static_cast<int>(size)) || !visit_row(row)) {
            return false;
        }
    }
}

}  // namespace

std::string encode_snapshot(const wire::Snapshot& head, const table& value) {
    // Concatenated protobuf messages of one type decode as the merged message. This order of the chunks
    // produces the same bytes as a single message.
    wire::Snapshot first;
    first.set_version(head.version());
    first.set_as_of(head.as_of());
    std::string bytes = first.SerializeAsString();
    append_rows<service_row>(value, bytes);
    append_rows<route_row>(value, bytes);
    append_rows<account_row>(value, bytes);
    wire::Snapshot last = head;
    last.clear_version();
    last.clear_as_of();
    last.AppendToString(&bytes);
    return bytes;
}

std::string encode_snapshot_record(std::string_view snapshot) {
    std::string bytes;
    {
        StringOutputStream stream(&bytes);
        CodedOutputStream writer(&stream);
        writer.WriteTag(snapshot_tag);
        writer.WriteVarint32(static_cast<std::uint32_t>(snapshot.size()));
    }
    return bytes.append(snapshot);
}

std::optional<std::string_view> find_snapshot(std::string_view record) {
    CodedInputStream reader = make_reader(record);
    std::uint32_t size = 0;
    if (reader.ReadTag() != snapshot_tag || !reader.ReadVarint32(&size)) {
        return std::nullopt;
    }
    const auto snapshot = record.substr(reader.CurrentPosition());
    return snapshot.size() == size ? std::optional(snapshot) : std::nullopt;
}

std::optional<wire::Snapshot> read_snapshot_header(std::string_view snapshot) {
    std::string rest;
    wire::Snapshot head;
    if (!visit_rows(snapshot, rest, [](std::string_view) { return true; }) || !head.ParseFromString(rest)) {
        return std::nullopt;
    }
    return head;
}

table read_snapshot_rows(std::string_view snapshot, std::uint64_t version, std::vector<table_issue>& issues) {
    table value = table().with_version(version);
    std::vector<row_change> rows;
    std::size_t count = 0;
    wire::TableRow record;
    const auto apply_rows = [&] {
        count += rows.size();
        value = value.with_changes(rows, version);
        rows.clear();
    };
    std::string rest;
    const bool well_formed = visit_rows(snapshot, rest, [&](std::string_view bytes) {
        if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
            return false;
        }
        if (auto row = parse_row_record(record, issues)) {
            rows.push_back({std::move(*row), false});
        }
        if (rows.size() == rows_per_chunk) {
            apply_rows();
        }
        return true;
    });
    apply_rows();
    if (!well_formed) {
        issues.push_back({row_kind::service, "", "", "a row is not valid protobuf", 0});
    } else if (count != value.services().size() + value.routes().size() + value.accounts().size()) {
        issues.push_back({row_kind::service, "", "", "a key occurs more than once", 0});
    }
    if (issues.empty()) {
        issues = find_contradictions(value);
    }
    return value;
}

}  // namespace teaselpitch
