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

/// An edit stored in the log, with its verdict.
struct history_entry {
    edit_result result;
    std::uint64_t base_version = 0;
    std::string comment;
    std::vector<std::string> changes;  ///< One line for each row; empty for an edit known from a snapshot.
};

/// Blocking access to the table stored in the log, for the duration of one command.
class log_session {
public:
    explicit log_session(log_client_settings settings);

    // Queries.

    [[nodiscard]] const table_replica& replica() const { return replica_; }

    /// Returns the current table or one of the versions passed to load(). Null when the retained part of the
    /// log does not contain that version.
    [[nodiscard]] std::shared_ptr<const table> version(std::uint64_t version) const;

    /// Returns the recent edits that have a verdict, oldest first.
    [[nodiscard]] std::vector<history_entry> history() const;

    // Commands.

    /// Reads the log to its end and retains the tables of the given versions. Retries failed reads until the
    /// timeout. Returns DataLoss when the log is truncated and has no usable snapshot.
    absl::Status load(std::set<std::uint64_t> retained_versions, std::chrono::milliseconds timeout);

    /// Publishes an edit on a loaded base table and waits for its verdict. The result is in doubt when the
    /// timeout passes after the edit may have been stored.
    publish_result publish(wire::TableEdit edit, std::shared_ptr<const table> base,
                           std::chrono::milliseconds timeout);

private:
    awaitable<absl::Status> read_to_end(steady_time deadline);
    awaitable<void> run_publisher(edit_publisher& publisher, steady_time deadline);
    void record_edit_details(const wire::StoredRecord& record, const apply_result& result);
    void retain_current_table();

    boost::asio::io_context context_{1};
    system_time_source clock_;
    table_replica replica_;
    log_client client_;
    log_follower follower_;
    std::set<std::uint64_t> retained_versions_;
    std::map<std::uint64_t, std::shared_ptr<const table>> retained_tables_;
    std::map<std::string, history_entry> edit_details_;
};

}  // namespace teaselpitch
