#include "modules/proxy/replayable_body.h"

#include <algorithm>

namespace teaselpitch {

replayable_body::replayable_body(body_reader& source, std::size_t kept_bytes)
    : source_(source), capacity_(kept_bytes) {}

awaitable<absl::Status> replayable_body::read_ahead() {
    while (!source_ended_ && kept_.size() < capacity_) {
        constexpr std::size_t step = 16 * 1024;
        const std::size_t before = kept_.size();
        kept_.resize(std::min(before + step, capacity_));
        const absl::StatusOr<std::size_t> count =
            co_await source_.read_some(std::span(kept_).subspan(before));
        kept_.resize(before + (count.ok() ? *count : 0));
        if (!count.ok()) {
            co_return count.status();
        }
        source_ended_ = *count == 0;
    }
    co_return absl::OkStatus();
}

awaitable<absl::StatusOr<std::size_t>> replayable_body::read_some(std::span<std::byte> buffer) {
    if (position_ < kept_.size()) {
        const std::size_t count = std::min(buffer.size(), kept_.size() - position_);
        std::copy_n(kept_.begin() + static_cast<std::ptrdiff_t>(position_), count, buffer.begin());
        position_ += count;
        co_return count;
    }
    if (source_ended_) {
        co_return std::size_t{0};
    }
    // Everything past the kept part can be read only once.
    passed_kept_part_ = true;
    const absl::StatusOr<std::size_t> count = co_await source_.read_some(buffer);
    source_ended_ = count.ok() && *count == 0;
    co_return count;
}

void replayable_body::rewind() {
    position_ = 0;
}

}  // namespace teaselpitch
