#include "drivers/log/log_follower.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace teaselpitch {

log_follower::log_follower(log_service& log, table_replica& replica, const time_source& clock,
                           log_follower_settings settings, log_follower_hooks hooks)
    : log_(log),
      replica_(replica),
      clock_(clock),
      settings_(settings),
      hooks_(std::move(hooks)),
      backoff_(settings.min_backoff),
      random_(static_cast<std::minstd_rand::result_type>(settings.seed + 1)) {}

awaitable<void> log_follower::run() {
    for (;;) {
        const absl::Status status = co_await read_once(settings_.read_wait);
        if (status.ok()) {
            continue;
        }
        boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, next_backoff());
        co_await timer.async_wait(boost::asio::use_awaitable);
    }
}

awaitable<absl::Status> log_follower::read_once(std::chrono::milliseconds wait) {
    const steady_time requested_at = clock_.now();
    const auto batch = co_await log_.read(replica_.next_offset(), settings_.max_records, wait);
    const absl::Status status = batch.ok() ? process_batch(*batch, requested_at) : batch.status();
    update_availability(status);
    if (status.ok()) {
        backoff_ = settings_.min_backoff;
    }
    co_return status;
}

absl::Status log_follower::process_batch(const wire::LogBatch& batch, steady_time requested_at) {
    if (batch.end_offset() < replica_.next_offset()) {
        return absl::FailedPreconditionError("the log ends at offset " + std::to_string(batch.end_offset()) +
                                             ", before the next offset of the replica " +
                                             std::to_string(replica_.next_offset()));
    }
    const auto previous_position = std::pair(replica_.next_offset(), replica_.as_of());
    if (apply_batch(batch)) {
        last_fresh_read_ = requested_at;
    }
    const bool progress = previous_position != std::pair(replica_.next_offset(), replica_.as_of());
    if (!progress && !batch.records().empty()) {
        return absl::DataLossError("the answer of the log lacks records from offset " +
                                   std::to_string(replica_.next_offset()));
    }
    return absl::OkStatus();
}

// Returns true when the replica is complete and reflects all records up to the end of the log.
bool log_follower::apply_batch(const wire::LogBatch& batch) {
    replica_.skip_truncated(batch.first_offset());
    for (const wire::StoredRecord& record : batch.records()) {
        const apply_result result = replica_.apply(record.offset(), record.payload());
        if (result.outcome == record_outcome::out_of_order) {
            break;
        }
        if (hooks_.on_record) {
            hooks_.on_record(record, result);
        }
        if (result.table_changed && hooks_.on_table) {
            hooks_.on_table();
        }
    }
    return replica_.complete() && replica_.next_offset() == batch.end_offset();
}

void log_follower::update_availability(const absl::Status& status) {
    if (std::exchange(available_, status.ok()) != status.ok() && hooks_.on_availability) {
        hooks_.on_availability(status.ok() ? std::string() : std::string(status.message()));
    }
}

std::chrono::milliseconds log_follower::next_backoff() {
    std::uniform_int_distribution<std::int64_t> jitter(backoff_.count() / 2, backoff_.count());
    backoff_ = std::min(backoff_ * 2, settings_.max_backoff);
    return std::chrono::milliseconds(jitter(random_));
}

}  // namespace teaselpitch
