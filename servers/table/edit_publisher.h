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

/// The edit made this version.
struct publish_accepted {
    std::uint64_t version = 0;
};

/// The edit has no effect and never will.
struct publish_rejected {
    std::string reason;
    std::uint64_t current_version = 0;
    std::vector<edit_result> accepted_since;         ///< Recent accepted edits above the base version.
    std::vector<row_difference> changed_since_base;  ///< Empty unless the base is stale.
};

/// The edit may take effect; the log could not be asked.
struct publish_in_doubt {
    std::string reason;
    std::string resolution;  ///< What the operator can do to learn the outcome.
};

using publish_result = std::variant<publish_accepted, publish_rejected, publish_in_doubt>;

/// Decides the steps that bring one edit to a verdict: append, then read until the verdict is known.
///
/// Repeated appends of one edit id count as one edit, so an append whose acknowledgement was lost is
/// repeated when reading to the end of the log does not show it.
class edit_publisher {
public:
    enum class step : std::uint8_t { append, read, done };

    /// Appends that may be tried while no verdict is known.
    static constexpr int max_appends = 4;

    /// `base` is the table of the edit's base version.
    edit_publisher(wire::TableEdit edit, std::shared_ptr<const table> base);

    // Queries.

    /// What to do next: append record(), read from the log, or take the result.
    [[nodiscard]] step next() const { return next_; }
    [[nodiscard]] const std::string& record() const { return record_; }
    [[nodiscard]] const std::string& edit_id() const { return edit_.edit_id(); }
    [[nodiscard]] const publish_result& result() const { return result_; }

    // Commands.

    void on_append(const append_outcome& outcome);

    /// Tells that records were applied to the replica; `at_end` when they reached the end that the log
    /// had when it answered.
    void on_read(const table_replica& replica, bool at_end);

    /// Ends without a verdict because the log could not be reached for as long as the operator waits.
    void give_up(const std::string& reason);

private:
    void finish(publish_result result);
    void reject(const table_replica& replica, std::string reason);
    [[nodiscard]] bool stale_for_certain(const table_replica& replica) const;

    wire::TableEdit edit_;
    std::shared_ptr<const table> base_;
    std::string record_;
    step next_ = step::append;
    int appends_ = 0;
    bool may_be_stored_ = false;
    std::uint64_t stored_offset_ = 0;  // Valid when stored_.
    bool stored_ = false;
    std::string last_detail_;
    publish_result result_;
};

}  // namespace teaselpitch
