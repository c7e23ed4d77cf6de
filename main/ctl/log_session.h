#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "absl/status/status.h"
#include "core/clock.h"
#include "drivers/log/log_client.h"
#include "drivers/log/log_follower.h"
#include "servers/table/edit_publisher.h"
#include "servers/table/table_replica.h"

namespace teaselpitch {

/// One edit of the log with its verdict.
struct history_entry {
    edit_result result;
    std::uint64_t base_version = 0;
    std::string comment;
    std::vector<std::string> changes;  ///< One line each; empty when only a snapshot tells of the edit.
};

/// Blocking access to the table on the log, for one command.
class log_session {
public:
    explicit log_session(log_client_settings settings);

    // Queries.

    [[nodiscard]] const table_replica& replica() const { return replica_; }

    /// The table of a version that load() was told to keep, or the current one; null when the retained
    /// log does not show it.
    [[nodiscard]] std::shared_ptr<const table> version(std::uint64_t version) const;

    /// Edits with a verdict, oldest first.
    [[nodiscard]] std::vector<history_entry> history() const;

    // Commands.

    /// Reads to the end of the log, and keeps the tables of the given versions.
    absl::Status load(std::set<std::uint64_t> keep, std::chrono::milliseconds timeout);

    /// Publishes an edit on a loaded table and waits for its verdict.
    publish_result publish(wire::TableEdit edit, std::shared_ptr<const table> base,
                           std::chrono::milliseconds timeout);

private:
    awaitable<absl::Status> read_to_end(steady_time deadline);
    awaitable<void> drive(edit_publisher& publisher, steady_time deadline);
    void remember(const wire::StoredRecord& record, const apply_result& result);
    void keep_current();

    boost::asio::io_context context_{1};
    system_time_source clock_;
    table_replica replica_;
    log_client client_;
    log_follower follower_;
    std::set<std::uint64_t> keep_;
    std::map<std::uint64_t, std::shared_ptr<const table>> kept_;
    std::map<std::string, history_entry> details_;
};

}  // namespace teaselpitch
