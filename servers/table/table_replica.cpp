#include "servers/table/table_replica.h"

#include <algorithm>
#include <array>
#include <limits>
#include <utility>

#include "absl/strings/str_join.h"
#include "servers/table/snapshot_codec.h"
#include "servers/table/table_issue.h"
#include "servers/table/table_record.h"
#include "servers/table/table_validation.h"

namespace teaselpitch {
namespace {

constexpr std::array<std::string_view, 6> outcome_names{"accepted", "rejected",   "ignored",
                                                        "adopted",  "not_judged", "out_of_order"};

apply_result rejected(std::string reason) {
    apply_result result;
    result.outcome = record_outcome::rejected;
    result.reason = std::move(reason);
    return result;
}

apply_result ignored(std::string reason) {
    apply_result result;
    result.reason = std::move(reason);
    return result;
}

std::string stale_reason(std::uint64_t base, std::uint64_t current) {
    return "stale_base: the edit builds on version " + std::to_string(base) + ", the current version is " +
           std::to_string(current);
}

}  // namespace

std::string_view to_string(record_outcome outcome) {
    return outcome_names[static_cast<std::size_t>(outcome)];
}

table_replica::table_replica() : table_(std::make_shared<const table>()) {}

const edit_result* table_replica::find_edit(std::string_view edit_id) const {
    const auto found = edit_numbers_.find(std::string(edit_id));
    return found == edit_numbers_.end() ? nullptr : &recent_edits_[found->second - removed_edits_];
}

std::string table_replica::make_snapshot() const {
    wire::Snapshot snapshot;
    snapshot.set_version(version());
    snapshot.set_as_of(as_of_);
    for (const edit_result& edit : recent_edits_) {
        wire::EditResult& record = *snapshot.add_recent_edits();
        record.set_edit_id(edit.edit_id);
        record.set_author(edit.author);
        record.set_accepted(edit.accepted);
        record.set_version(edit.version);
        record.set_reason(edit.reason);
    }
    for (const slot_assignment& assignment : slots_.assignments()) {
        *snapshot.add_slots() = to_wire(assignment);
    }
    return encode_snapshot(snapshot, *table_);
}

std::optional<std::vector<wire::StoredRecord>> table_replica::records_since(std::uint64_t offset) const {
    if (offset >= as_of_) {
        return std::vector<wire::StoredRecord>();
    }
    if (recent_records_.empty() || recent_records_.front().offset() > offset) {
        return std::nullopt;
    }
    const auto skipped = static_cast<std::ptrdiff_t>(offset - recent_records_.front().offset());
    return std::vector<wire::StoredRecord>(recent_records_.begin() + skipped, recent_records_.end());
}

apply_result table_replica::apply(std::uint64_t offset, std::string_view payload) {
    if (offset < next_offset_) {
        return ignored("the offset was processed before");
    }
    if (offset > next_offset_) {
        apply_result result = ignored("records from offset " + std::to_string(next_offset_) + " are missing");
        result.outcome = record_outcome::out_of_order;
        return result;
    }
    const bool is_complete = complete();
    next_offset_ = offset + 1;
    if (is_complete) {
        as_of_ = next_offset_;
    }
    const auto snapshot = find_snapshot(payload);
    if (is_complete) {
        add_recent_record(offset, snapshot ? std::string_view() : payload);
    }
    if (snapshot) {
        return adopt(*snapshot, offset);
    }
    wire::LogRecord record;
    if (!record.ParseFromArray(payload.data(), static_cast<int>(payload.size()))) {
        return rejected("the record is not valid protobuf");
    }
    if (!is_complete) {
        apply_result result = ignored("earlier records are missing");
        result.outcome = record_outcome::not_judged;
        return result;
    }
    return apply_parsed(offset, record);
}

apply_result table_replica::apply_parsed(std::uint64_t offset, const wire::LogRecord& record) {
    switch (record.record_case()) {
        case wire::LogRecord::kEdit:
            return apply_edit(offset, record.edit());
        case wire::LogRecord::kSnapshot:
            return rejected("the record contains more than its snapshot");
        case wire::LogRecord::kSlots:
            return apply_slots(offset, record.slots());
        case wire::LogRecord::RECORD_NOT_SET:
            break;
    }
    return rejected("the record has no known kind");
}

apply_result table_replica::apply_edit(std::uint64_t offset, const wire::TableEdit& edit) {
    if (edit.edit_id().empty()) {
        return rejected("the edit has no id");
    }
    if (const edit_result* existing_result = find_edit(edit.edit_id())) {
        return ignored("the edit was assessed before: " +
                       (existing_result->accepted ? std::string("accepted") : existing_result->reason));
    }
    apply_result result;
    table next;
    std::string reason = validate_edit(edit, offset + 1, next);
    if (reason.empty()) {
        result.outcome = record_outcome::accepted;
        result.table_changed = true;
        table_ = std::make_shared<const table>(std::move(next));
    } else {
        result = rejected(std::move(reason));
    }
    result.edit = edit_result{edit.edit_id(), edit.author(), result.table_changed, version(), result.reason};
    add_recent_edit(*result.edit);
    return result;
}

// Returns the reason of a rejection, or an empty text and the table after the edit. The reason is part of the
// replicated state, so its text must be equal on all nodes.
std::string table_replica::validate_edit(const wire::TableEdit& edit, std::uint64_t version,
                                         table& next) const {
    if (edit.base_version() != table_->version()) {
        return stale_reason(edit.base_version(), table_->version());
    }
    if (edit.changes().empty()) {
        return "invalid_table: the edit has no changes";
    }
    std::vector<table_issue> issues;
    const std::vector<row_change> changes = parse_changes(edit, issues);
    if (issues.empty()) {
        next = table_->with_changes(changes, version);
        issues = validate_changes(*table_, changes, next);
    }
    return issues.empty() ? std::string() : "invalid_table: " + to_string(issues);
}

apply_result table_replica::apply_slots(std::uint64_t offset, const wire::SlotChange& change) {
    apply_result result;
    std::vector<std::string> rejections;
    for (const wire::SlotAssignment& next : change.assignments()) {
        const absl::Status status =
            slots_.apply(next, from_wire(change.appender()), change.reset(), offset + 1);
        const slot_id slot{next.service(), next.slot()};
        if (status.ok()) {
            result.new_assignments.push_back(*slots_.find(slot));
        } else {
            rejections.push_back("slot " + slot.service + "/" + std::to_string(slot.slot) + ": " +
                                 std::string(status.message()));
        }
    }
    result.outcome = result.new_assignments.empty() ? record_outcome::rejected : record_outcome::accepted;
    result.reason = absl::StrJoin(rejections, "; ");
    return result;
}

apply_result table_replica::adopt_snapshot(std::string_view snapshot) {
    return adopt(snapshot, std::numeric_limits<std::uint64_t>::max());
}

apply_result table_replica::adopt(std::string_view snapshot, std::uint64_t max_as_of) {
    const auto head = read_snapshot_header(snapshot);
    if (!head) {
        return rejected("the snapshot is not valid protobuf");
    }
    if (head->as_of() > max_as_of) {
        return rejected("the snapshot claims to reflect records after its own offset");
    }
    if (head->as_of() <= as_of_) {
        return ignored("the snapshot reflects no more of the log than this replica");
    }
    if (head->version() < version()) {
        return ignored("the snapshot has an older version");
    }
    if (head->version() > head->as_of()) {
        return rejected("the snapshot's version is above its as_of");
    }
    std::vector<table_issue> issues;
    table value = read_snapshot_rows(snapshot, head->version(), issues);
    if (!issues.empty()) {
        return rejected("invalid_table: " + to_string(issues));
    }
    apply_result result;
    result.outcome = record_outcome::adopted;
    restore(*head, std::move(value), result);
    return result;
}

void table_replica::restore(const wire::Snapshot& snapshot, table value, apply_result& result) {
    result.table_changed = value.version() != version();
    table_ = std::make_shared<const table>(std::move(value));
    as_of_ = snapshot.as_of();
    next_offset_ = snapshot.as_of();
    recent_records_.clear();
    recent_record_bytes_ = 0;
    recent_edits_.clear();
    edit_numbers_.clear();
    removed_edits_ = 0;
    for (const wire::EditResult& edit : snapshot.recent_edits()) {
        add_recent_edit({edit.edit_id(), edit.author(), edit.accepted(), edit.version(), edit.reason()});
    }
    std::vector<slot_assignment> assignments;
    for (const wire::SlotAssignment& record : snapshot.slots()) {
        assignments.push_back(from_wire(record));
        const slot_assignment* existing = slots_.find(assignments.back().slot);
        if (existing == nullptr || existing->epoch != assignments.back().epoch) {
            result.new_assignments.push_back(assignments.back());
        }
    }
    slot_map slots;
    slots.merge_newer(assignments);
    slots_ = std::move(slots);
}

void table_replica::skip_truncated(std::uint64_t first_offset) {
    next_offset_ = std::max(next_offset_, first_offset);
}

void table_replica::add_recent_edit(edit_result result) {
    edit_numbers_[result.edit_id] = removed_edits_ + recent_edits_.size();
    recent_edits_.push_back(std::move(result));
    if (recent_edits_.size() > max_recent_edits) {
        edit_numbers_.erase(recent_edits_.front().edit_id);
        recent_edits_.pop_front();
        ++removed_edits_;
    }
}

void table_replica::add_recent_record(std::uint64_t offset, std::string_view payload) {
    wire::StoredRecord& record = recent_records_.emplace_back();
    record.set_offset(offset);
    record.set_payload(std::string(payload));
    recent_record_bytes_ += payload.size();
    while (recent_records_.size() > max_recent_records || recent_record_bytes_ > max_recent_record_bytes) {
        recent_record_bytes_ -= recent_records_.front().payload().size();
        recent_records_.pop_front();
    }
}

}  // namespace teaselpitch
