#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "core/clock.h"
#include "core/wire/table.pb.h"

namespace teaselpitch {

struct log_retention {
    std::size_t max_records = 0;      ///< Per stream; 0 means no limit.
    std::chrono::seconds max_age{0};  ///< 0 means no limit.
};

/// An in-memory append-only stream of records with bounded retention.
class log_stream {
public:
    explicit log_stream(log_retention retention) : retention_(retention) {}

    /// Offset of the oldest retained record; equal to `end_offset()` when there is none.
    [[nodiscard]] std::uint64_t first_offset() const { return end_offset_ - records_.size(); }

    /// Offset that the next record will get.
    [[nodiscard]] std::uint64_t end_offset() const { return end_offset_; }

    /// Returns at most `max` records, starting at offset `from` or at the oldest retained one after it.
    [[nodiscard]] wire::LogBatch read(std::uint64_t from, std::size_t max) const;

    /// Appends a record, drops expired ones and returns the offset of the new record.
    std::uint64_t append(std::string payload, steady_time now);

    /// Drops the oldest records while they exceed the retention limits.
    void expire(steady_time now);

private:
    struct retained_record {
        std::string payload;
        steady_time time;
    };

    log_retention retention_;
    std::deque<retained_record> records_;
    std::uint64_t end_offset_ = 0;
};

}  // namespace teaselpitch
