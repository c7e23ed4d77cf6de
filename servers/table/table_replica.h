#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/wire/table.pb.h"
#include "servers/claims/slot_map.h"
#include "servers/table/table.h"

namespace teaselpitch {

/// Number of edit results that a replica and a snapshot retain. Must be equal on all nodes, because the list
/// is part of the replicated state.
constexpr std::size_t max_recent_edits = 4'096;

/// Limits of the records retained for peers.
constexpr std::size_t max_recent_records = 4'096;
constexpr std::size_t max_recent_record_bytes = std::size_t{4} << 20;

/// Verdict on an edit. The same on every replica, including the text of the reason.
struct edit_result {
    std::string edit_id;
    std::string author;
    bool accepted = false;
    std::uint64_t version = 0;  ///< Version that the edit created, or current version at its rejection.
    std::string reason;         ///< Empty when accepted.

    bool operator==(const edit_result&) const = default;
};

enum class record_outcome : std::uint8_t {
    accepted,      ///< An edit or at least one slot assignment took effect.
    rejected,      ///< The record is malformed, invalid or stale and has no effect.
    ignored,       ///< A duplicate edit, a snapshot without newer state, or an offset already processed.
    adopted,       ///< A snapshot replaced the state; reading continues at next_offset().
    not_judged,    ///< Records before this one are missing; a snapshot is required.
    out_of_order,  ///< The offset is above next_offset(); the record was not processed.
};

std::string_view to_string(record_outcome outcome);

struct apply_result {
    record_outcome outcome = record_outcome::ignored;
    std::string reason;
    bool table_changed = false;
    std::optional<edit_result> edit;               ///< Verdict on a new edit; empty for other records.
    std::vector<slot_assignment> new_assignments;  ///< Assignments that took effect, also through a snapshot.
};

/// State that a prefix of the log defines: table, recent edit results and slot assignments.
///
/// Replicas that processed the same prefix have equal state, whether from records or from snapshots. The
/// version never decreases.
class table_replica {
public:
    table_replica();

    // Queries.

    [[nodiscard]] std::shared_ptr<const table> current() const { return table_; }
    [[nodiscard]] std::uint64_t version() const { return table_->version(); }

    /// Offset of the next record to read.
    [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }

    /// Offset below which all records are reflected in the state.
    [[nodiscard]] std::uint64_t as_of() const { return as_of_; }

    /// Returns whether no record below next_offset() is missing, so that edits can be validated.
    [[nodiscard]] bool complete() const { return as_of_ == next_offset_; }

    /// Returns the result of a recent edit, or null when none has this id.
    [[nodiscard]] const edit_result* find_edit(std::string_view edit_id) const;
    [[nodiscard]] const std::deque<edit_result>& recent_edits() const { return recent_edits_; }

    [[nodiscard]] const slot_map& slots() const { return slots_; }

    /// Encodes the state as a wire::Snapshot for other replicas. Valid at any time, also while records are
    /// missing. encode_snapshot_record() converts it to a log record.
    [[nodiscard]] std::string make_snapshot() const;

    /// Returns the processed records starting at the offset, for a peer that is complete up to this offset. A
    /// version is such an offset too. Empty when the records are no longer retained; the peer then needs a
    /// snapshot. Snapshot records have no payload here.
    [[nodiscard]] std::optional<std::vector<wire::StoredRecord>> records_since(std::uint64_t offset) const;

    // Commands.

    /// Processes the record at an offset. An invalid record is rejected with a reason and does not stop the
    /// replica.
    apply_result apply(std::uint64_t offset, std::string_view payload);

    /// Advances next_offset() to the first offset that the log retains.
    void skip_truncated(std::uint64_t first_offset);

    /// Replaces the state by that of a peer's encoded wire::Snapshot if the snapshot reflects more of the
    /// log.
    apply_result adopt_snapshot(std::string_view snapshot);

private:
    apply_result apply_edit(std::uint64_t offset, const wire::TableEdit& edit);
    apply_result apply_slots(std::uint64_t offset, const wire::SlotChange& change);
    apply_result adopt(std::string_view snapshot, std::uint64_t max_as_of);
    apply_result apply_parsed(std::uint64_t offset, const wire::LogRecord& record);
    std::string validate_edit(const wire::TableEdit& edit, std::uint64_t version, table& next) const;
    void restore(const wire::Snapshot& snapshot, table value, apply_result& result);
    void add_recent_edit(edit_result result);
    void add_recent_record(std::uint64_t offset, std::string_view payload);

    std::shared_ptr<const table> table_;
    std::uint64_t next_offset_ = 0;
    std::uint64_t as_of_ = 0;
    slot_map slots_;
    std::deque<edit_result> recent_edits_;
    std::unordered_map<std::string, std::uint64_t>
        edit_numbers_;  // Sequence number of each recent edit by its id.
    std::uint64_t removed_edits_ = 0;
    std::deque<wire::StoredRecord> recent_records_;  // Contiguous, up to and excluding as_of_.
    std::size_t recent_record_bytes_ = 0;
};

}  // namespace teaselpitch
