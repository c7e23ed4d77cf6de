#include "modules/proxy/replayable_body.h"

#include <algorithm>

namespace teaselpitch {

replayable_body::replayable_body(body_reader& source, std::size_t capacity_bytes)
    : source_(source), capacity_(capacity_bytes) {}

awaitable<absl::Status> replayable_body::read_ahead() {
    while (!source_ended_ && buffered_.size() < capacity_) {
        constexpr std::size_t step = 16 * 1024;
        const std::size_t before = buffered_.size();
        buffered_.resize(std::min(before + step, capacity_));
        const absl::StatusOr<std::size_t> count =
            co_await source_.read_some(std::span(buffered_).subspan(before));
        buffered_.resize(before + (count.ok() ? *count : 0));
        if (!count.ok()) {
            co_return count.status();
        }
        source_ended_ = *count == 0;
    }
    co_return absl::OkStatus();
}

awaitable<absl::StatusOr<std::size_t>> replayable_body::read_some(std::span<std::byte> buffer) {
    if (position_ < buffered_.size()) {
        const std::size_t count = std::min(buffer.size(), buffered_.size() - position_);
        std::copy_n(buffered_.begin() + static_cast<std::ptrdiff_t>(position_), count, buffer.begin());
        position_ += count;
        co_return count;
    }
    if (source_ended_) {
        co_return std::size_t{0};
    }
    // Bytes after the buffered part can be read only once.
    read_past_buffer_ = true;
    const absl::StatusOr<std::size_t> count = co_await source_.read_some(buffer);
    source_ended_ = count.ok() && *count == 0;
    co_return count;
}

void replayable_body::rewind() {
    position_ = 0;
}

}  // namespace teaselpitch
