#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "core/clock.h"
#include "servers/table/log_service.h"
#include "servers/table/table_replica.h"

namespace teaselpitch {

struct log_follower_settings {
    std::uint32_t max_records = 500;  ///< Maximum number of records of one read.
    /// How long the log may delay the answer to a read when there are no records. The last fresh read can be
    /// this old plus the response time, so the value must stay well below the lease duration of 5 s.
    std::chrono::milliseconds read_wait{1'000};
    std::chrono::milliseconds min_backoff{100};
    std::chrono::milliseconds max_backoff{5'000};
    std::uint64_t seed = 0;  ///< Seed of the backoff jitter.
};

struct log_follower_hooks {
    /// Called after each record was applied to the replica.
    std::function<void(const wire::StoredRecord& record, const apply_result& result)> on_record;
    /// Called after the replica's table changed.
    std::function<void()> on_table;
    /// Called with the reason when the log becomes unavailable, and with an empty string when it is available
    /// again.
    std::function<void(const std::string& reason)> on_availability;
};

/// Reads the log continuously and applies its records to a replica. Uses the replica and the hooks on the
/// executor of run().
class log_follower {
public:
    log_follower(log_service& log, table_replica& replica, const time_source& clock,
                 log_follower_settings settings = {}, log_follower_hooks hooks = {});

    // Queries.

    /// Time at which the latest read was sent whose answer brought a complete replica to the end of the log;
    /// empty before the first such read. The replica reflects every record that was stored before this time.
    [[nodiscard]] std::optional<steady_time> last_fresh_read() const { return last_fresh_read_; }

    /// True when the latest read succeeded.
    [[nodiscard]] bool log_available() const { return available_; }

    // Commands.

    /// Reads until it is cancelled; retries failed reads with exponential backoff and jitter.
    awaitable<void> run();

    /// Reads once, waits for records for at most this time, and applies the answer. Returns the status of the
    /// read: FailedPrecondition when the log ends before the replica's next offset, DataLoss when the answer
    /// lacks records.
    awaitable<absl::Status> read_once(std::chrono::milliseconds wait);

private:
    absl::Status process_batch(const wire::LogBatch& batch, steady_time requested_at);
    bool apply_batch(const wire::LogBatch& batch);
    void update_availability(const absl::Status& status);
    std::chrono::milliseconds next_backoff();

    log_service& log_;
    table_replica& replica_;
    const time_source& clock_;
    log_follower_settings settings_;
    log_follower_hooks hooks_;
    std::optional<steady_time> last_fresh_read_;
    bool available_ = true;
    std::chrono::milliseconds backoff_;
    std::minstd_rand random_;
};

}  // namespace teaselpitch
