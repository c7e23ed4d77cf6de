#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// A request body whose first bytes are buffered, so that another attempt can read them again.
class replayable_body final : public body_reader {
public:
    replayable_body(body_reader& source, std::size_t capacity_bytes);

    // Commands.
    /// Reads ahead until the buffer is full or the body ends. Fails when the body is cut off.
    awaitable<absl::Status> read_ahead();
    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override;
    /// Restarts reading at the first byte. Allowed only while can_replay() is true.
    void rewind();

    // Queries.
    /// Returns true while every byte that was read is buffered.
    [[nodiscard]] bool can_replay() const { return !read_past_buffer_; }
    [[nodiscard]] std::span<const std::byte> buffered() const { return buffered_; }
    /// Returns true when the end of the body was received.
    [[nodiscard]] bool is_complete() const { return source_ended_; }

private:
    body_reader& source_;
    const std::size_t capacity_;
    std::vector<std::byte> buffered_;
    std::size_t position_ = 0;  ///< Offset of the next buffered byte to read.
    bool source_ended_ = false;
    bool read_past_buffer_ = false;
};

}  // namespace teaselpitch
