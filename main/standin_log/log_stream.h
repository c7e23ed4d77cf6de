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
    std::size_t max_records = 0;      ///< 0 keeps any number.
    std::chrono::seconds max_age{0};  ///< 0 keeps records of any age.
};

/// One append-only stream in memory with bounded retention.
class log_stream {
public:
    explicit log_stream(log_retention retention) : retention_(retention) {}

    /// Offset of the oldest record that is kept.
    [[nodiscard]] std::uint64_t first_offset() const { return end_offset_ - records_.size(); }

    /// Offset that the next record gets.
    [[nodiscard]] std::uint64_t end_offset() const { return end_offset_; }

    /// At most `max` records from an offset on.
    [[nodiscard]] wire::LogBatch read(std::uint64_t from, std::size_t max) const;

    /// Stores a record and returns its offset.
    std::uint64_t append(std::string payload, steady_time now);

    /// Drops records that are over the retention.
    void expire(steady_time now);

private:
    struct stored {
        std::string payload;
        steady_time time;
    };

    log_retention retention_;
    std::deque<stored> records_;
    std::uint64_t end_offset_ = 0;
};

}  // namespace teaselpitch
