#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "core/wire/table.pb.h"
#include "servers/table/log_service.h"
#include "servers/table/table_diff.h"
#include "servers/table/table_replica.h"

namespace teaselpitch {

/// The edit was accepted and created this version.
struct publish_accepted {
    std::uint64_t version = 0;
};

/// The edit has no effect and can have none later.
struct publish_rejected {
    std::string reason;
    std::uint64_t current_version = 0;
    std::vector<edit_result> accepted_since;         ///< Recent accepted edits with a version above the base.
    std::vector<row_difference> changed_since_base;  ///< Empty unless the base is stale.
};

/// The edit may have taken effect or take effect later, because the log could not be read.
struct publish_in_doubt {
    std::string reason;
    std::string resolution;  ///< Command by which the operator can find out the outcome.
};

using publish_result = std::variant<publish_accepted, publish_rejected, publish_in_doubt>;

/// State machine that publishes one edit: appends it, then reads the log until its verdict is found.
///
/// Appends with the same edit id count as one edit. An append whose acknowledgement was lost is therefore
/// retried when the record is not found up to the end of the log.
class edit_publisher {
public:
    enum class step : std::uint8_t { append, read, done };

    /// Maximum number of appends without a verdict.
    static constexpr int max_appends = 4;

    /// `base` is the table with the edit's base version.
    edit_publisher(wire::TableEdit edit, std::shared_ptr<const table> base);

    // Queries.

    /// Next step: append record(), read the log, or use result().
    [[nodiscard]] step next_step() const { return next_step_; }
    [[nodiscard]] const std::string& record() const { return record_; }
    [[nodiscard]] const std::string& edit_id() const { return edit_.edit_id(); }
    [[nodiscard]] const publish_result& result() const { return result_; }

    // Commands.

    /// Processes the outcome of an append of record().
    void on_append_outcome(const append_outcome& outcome);

    /// Processes the replica after records were applied to it. `at_end` is true if they reached the end that
    /// the log had when it answered.
    void on_records_read(const table_replica& replica, bool at_end);

    /// Ends the publication without a verdict, because the log was unreachable for the operator's wait time.
    void give_up(const std::string& reason);

private:
    void finish(publish_result result);
    void reject(const table_replica& replica, std::string reason);
    [[nodiscard]] bool is_certainly_stale(const table_replica& replica) const;

    wire::TableEdit edit_;
    std::shared_ptr<const table> base_;
    std::string record_;
    step next_step_ = step::append;
    int append_count_ = 0;
    bool may_be_stored_ = false;
    std::uint64_t stored_offset_ = 0;  // Valid when stored_.
    bool stored_ = false;
    std::string last_append_detail_;
    publish_result result_;
};

}  // namespace teaselpitch
