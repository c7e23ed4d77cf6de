#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// A request body whose first bytes are kept, so that another attempt can read them again.
class replayable_body final : public body_reader {
public:
    replayable_body(body_reader& source, std::size_t kept_bytes);

    // Commands.
    /// Reads ahead until the kept part is full or the body ends. Fails when the body ends early.
    awaitable<absl::Status> read_ahead();
    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override;
    /// Starts again at the first byte. Only allowed while can_replay().
    void rewind();

    // Queries.
    /// True while every byte that was read is kept.
    [[nodiscard]] bool can_replay() const { return !passed_kept_part_; }
    [[nodiscard]] std::span<const std::byte> kept() const { return kept_; }

private:
    body_reader& source_;
    const std::size_t capacity_;
    std::vector<std::byte> kept_;
    std::size_t position_ = 0;  ///< Next kept byte to hand out.
    bool source_ended_ = false;
    bool passed_kept_part_ = false;
};

}  // namespace teaselpitch
