#include "servers/table/edit_publisher.h"

#include <utility>

#include "servers/table/table_record.h"

namespace teaselpitch {

edit_publisher::edit_publisher(wire::TableEdit edit, std::shared_ptr<const table> base)
    : edit_(std::move(edit)), base_(std::move(base)), record_(encode_record(edit_)) {}

void edit_publisher::on_append_outcome(const append_outcome& outcome) {
    if (next_step_ == step::done) {
        return;
    }
    ++append_count_;
    last_append_detail_ = outcome.detail;
    stored_ = outcome.state == append_state::stored;
    stored_offset_ = outcome.offset;
    may_be_stored_ = may_be_stored_ || outcome.state != append_state::refused;
    next_step_ = step::read;
}

void edit_publisher::on_records_read(const table_replica& replica, bool at_end) {
    if (next_step_ == step::done) {
        return;
    }
    if (const edit_result* verdict = replica.find_edit(edit_.edit_id())) {
        if (verdict->accepted) {
            finish(publish_accepted{verdict->version});
        } else {
            reject(replica, verdict->reason);
        }
        return;
    }
    if (is_certainly_stale(replica)) {
        reject(replica, "stale_base: the edit builds on version " + std::to_string(edit_.base_version()) +
                            ", the current version is " + std::to_string(replica.version()));
        return;
    }
    if (next_step_ == step::append || !at_end) {
        return;
    }
    if (stored_) {
        // The stored offset has been read and the edit has no verdict.
        if (replica.as_of() > stored_offset_) {
            give_up("the log acknowledged the edit at offset " + std::to_string(stored_offset_) +
                    ", but the record there is another one");
        }
    } else if (append_count_ < max_appends) {
        next_step_ = step::append;
    } else {
        give_up(last_append_detail_);
    }
}

void edit_publisher::give_up(const std::string& reason) {
    if (next_step_ == step::done) {
        return;
    }
    if (!may_be_stored_) {
        finish(publish_rejected{
            "log_unavailable: the log did not store the edit: " + reason, base_->version(), {}, {}});
        return;
    }
    finish(publish_in_doubt{
        "log_unavailable: " + reason,
        "when the log is available, run: teaselpitchctl table history --edit " + edit_.edit_id()});
}

void edit_publisher::finish(publish_result result) {
    result_ = std::move(result);
    next_step_ = step::done;
}

void edit_publisher::reject(const table_replica& replica, std::string reason) {
    publish_rejected result{std::move(reason), replica.version(), {}, {}};
    for (const edit_result& edit : replica.recent_edits()) {
        if (edit.accepted && edit.version > base_->version()) {
            result.accepted_since.push_back(edit);
        }
    }
    result.changed_since_base = diff_tables(*base_, *replica.current());
    finish(std::move(result));
}

// A version above the base rejects the edit at any later offset, even if the replica lacks later records.
// This is not certain when so many edits followed that an acceptance of this edit may have left the recent
// edits.
bool edit_publisher::is_certainly_stale(const table_replica& replica) const {
    if (replica.version() <= edit_.base_version()) {
        return false;
    }
    const auto& recent = replica.recent_edits();
    return recent.size() < max_recent_edits || recent.front().version <= edit_.base_version();
}

}  // namespace teaselpitch
