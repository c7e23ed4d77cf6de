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
    std::uint32_t max_records = 500;
    /// How long the log may hold a read without records. Freshness can be this old plus one answer time,
    /// so it stays well below the lease duration of 5 s.
    std::chrono::milliseconds read_wait{1'000};
    std::chrono::milliseconds min_backoff{100};
    std::chrono::milliseconds max_backoff{5'000};
    std::uint64_t seed = 0;  ///< Of the jitter.
};

struct log_follower_hooks {
    /// Called after each record that was processed.
    std::function<void(const wire::StoredRecord& record, const apply_result& result)> on_record;
    /// Called after the replica's table changed.
    std::function<void()> on_table;
    /// Called when the log becomes unavailable, with the reason, and with an empty reason when it is back.
    std::function<void(const std::string& reason)> on_availability;
};

/// Keeps a replica up to date with the log. The replica and the hooks are used on the executor of run().
class log_follower {
public:
    log_follower(log_service& log, table_replica& replica, const time_source& clock,
                 log_follower_settings settings = {}, log_follower_hooks hooks = {});

    // Queries.

    /// When the latest read was issued whose answer brought a complete replica to the end of the log;
    /// empty before the first one. Every record stored before this time is reflected in the replica.
    [[nodiscard]] std::optional<steady_time> last_fresh_read() const { return last_fresh_read_; }

    /// Whether the latest read was answered.
    [[nodiscard]] bool log_available() const { return available_; }

    // Commands.

    /// Reads until cancelled.
    awaitable<void> run();

    /// Reads once and applies the answer; returns the status of the read.
    awaitable<absl::Status> read_once(std::chrono::milliseconds wait);

private:
    absl::Status take_batch(const wire::LogBatch& batch, steady_time issued);
    bool apply_batch(const wire::LogBatch& batch);
    void set_available(const absl::Status& status);
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
