#include "main/standin_log/log_stream.h"

#include <algorithm>

namespace teaselpitch {

wire::LogBatch log_stream::read(std::uint64_t from, std::size_t max) const {
    wire::LogBatch batch;
    batch.set_first_offset(first_offset());
    batch.set_end_offset(end_offset_);
    const std::uint64_t start = std::max(from, first_offset());
    for (std::uint64_t offset = start; offset < end_offset_ && offset - start < max; ++offset) {
        wire::StoredRecord& record = *batch.add_records();
        record.set_offset(offset);
        record.set_payload(records_[offset - first_offset()].payload);
    }
    return batch;
}

std::uint64_t log_stream::append(std::string payload, steady_time now) {
    records_.push_back({std::move(payload), now});
    const std::uint64_t offset = end_offset_++;
    expire(now);
    return offset;
}

void log_stream::expire(steady_time now) {
    const auto too_many = [this] {
        return retention_.max_records > 0 && records_.size() > retention_.max_records;
    };
    const auto too_old = [this, now] {
        return retention_.max_age.count() > 0 && !records_.empty() &&
               now - records_.front().time > retention_.max_age;
    };
    while (too_many() || too_old()) {
        records_.pop_front();
    }
}

}  // namespace teaselpitch
