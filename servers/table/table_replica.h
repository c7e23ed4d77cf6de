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

/// Edit results that a replica and a snapshot keep. The same on every node, because the list is part of
/// the state that replicas agree on.
constexpr std::size_t max_recent_edits = 4'096;

/// Bounds of the records kept for peers.
constexpr std::size_t max_recent_records = 4'096;
constexpr std::size_t max_recent_record_bytes = std::size_t{4} << 20;

/// How an edit was judged; the same at every reader.
struct edit_result {
    std::string edit_id;
    std::string author;
    bool accepted = false;
    std::uint64_t version = 0;  ///< The version that the edit made, or the current one that refused it.
    std::string reason;         ///< Empty when accepted.

    bool operator==(const edit_result&) const = default;
};

enum class record_outcome : std::uint8_t {
    accepted,      ///< An edit or at least one slot assignment took effect.
    rejected,      ///< The record is malformed, invalid or stale and has no effect.
    ignored,       ///< A repeated edit, a snapshot that tells nothing new, or an offset already processed.
    adopted,       ///< A snapshot replaced the state; reading goes on at next_offset().
    not_judged,    ///< Records before this one are missing; only a snapshot can help.
    out_of_order,  ///< The offset is above next_offset(); nothing happened.
};

std::string_view to_string(record_outcome outcome);

struct apply_result {
    record_outcome outcome = record_outcome::ignored;
    std::string reason;
    bool table_changed = false;
    std::optional<edit_result> edit;         ///< The first verdict on the record's edit.
    std::vector<slot_assignment> new_slots;  ///< Assignments that took effect, also by a snapshot.
};

/// The state that a log prefix defines: table, recent edit results and slot assignments.
///
/// Any two replicas that processed the same prefix hold the same state, however they got there. The
/// version never goes back.
class table_replica {
public:
    table_replica();

    // Queries.

    [[nodiscard]] std::shared_ptr<const table> current() const { return table_; }
    [[nodiscard]] std::uint64_t version() const { return table_->version(); }

    /// The offset to read next.
    [[nodiscard]] std::uint64_t next_offset() const { return next_offset_; }

    /// Every record with a lower offset is reflected in the state.
    [[nodiscard]] std::uint64_t as_of() const { return as_of_; }

    /// True when no record below next_offset() is missing, so that edits can be judged.
    [[nodiscard]] bool complete() const { return as_of_ == next_offset_; }

    /// The result of an edit among the recent ones; null when the id was not seen.
    [[nodiscard]] const edit_result* find_edit(std::string_view edit_id) const;
    [[nodiscard]] const std::deque<edit_result>& recent_edits() const { return recent_edits_; }

    [[nodiscard]] const slot_map& slots() const { return slots_; }

    /// The state for other replicas, as the bytes of a wire::Snapshot; true at any time, also while
    /// records are missing. The log takes it as encode_snapshot_record().
    [[nodiscard]] std::string make_snapshot() const;

    /// Every processed record from the offset on, for a peer that is complete up to there; a version is
    /// such an offset too. Empty when the records are no longer kept: the peer then needs a snapshot.
    /// Snapshot records are passed on without their payload.
    [[nodiscard]] std::optional<std::vector<wire::StoredRecord>> records_since(std::uint64_t offset) const;

    // Commands.

    /// Processes the record at an offset. Never fails: a bad record is rejected with a reason.
    apply_result apply(std::uint64_t offset, std::string_view payload);

    /// Tells that the log no longer has records below `first_offset`.
    void skip_truncated(std::uint64_t first_offset);

    /// Takes over the state of a snapshot from a peer, as the bytes of a wire::Snapshot, when it reflects
    /// more of the log.
    apply_result adopt_snapshot(std::string_view snapshot);

private:
    apply_result apply_edit(std::uint64_t offset, const wire::TableEdit& edit);
    apply_result apply_slots(std::uint64_t offset, const wire::SlotChange& change);
    apply_result adopt(std::string_view snapshot, std::uint64_t max_as_of);
    apply_result apply_parsed(std::uint64_t offset, const wire::LogRecord& record);
    std::string judge_edit(const wire::TableEdit& edit, std::uint64_t version, table& next) const;
    void restore(const wire::Snapshot& snapshot, table value, apply_result& result);
    void remember_edit(edit_result result);
    void remember_record(std::uint64_t offset, std::string_view payload);

    std::shared_ptr<const table> table_;
    std::uint64_t next_offset_ = 0;
    std::uint64_t as_of_ = 0;
    slot_map slots_;
    std::deque<edit_result> recent_edits_;
    std::unordered_map<std::string, std::uint64_t> edit_index_;  // Edit id to its number since the start.
    std::uint64_t forgotten_edits_ = 0;
    std::deque<wire::StoredRecord> recent_records_;  // Contiguous and ends below as_of_.
    std::size_t recent_record_bytes_ = 0;
};

}  // namespace teaselpitch
