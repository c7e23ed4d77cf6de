#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Buffers a short answer until it is complete, so that another attempt can replace an answer that is cut off
/// or that reports a failure of the target. An answer that exceeds the limit is streamed to the caller.
class buffered_answer final : public response_writer {
public:
    buffered_answer(response_writer& caller, std::size_t limit) : caller_(caller), limit_(limit) {}

    // Commands.
    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override;
    void abort() override;
    /// Stores a complete answer as the fallback, and clears the buffer for the answer of the next attempt.
    void store_fallback();
    /// Writes the complete answer, or else the fallback, to the caller. FAILED_PRECONDITION when there is
    /// neither.
    awaitable<absl::Status> deliver();

    // Queries.
    /// Returns the status of the current attempt's answer; 0 before its head.
    [[nodiscard]] unsigned status() const { return current_.head ? current_.head->status : 0; }
    /// Returns true while no byte of an answer was written to the caller.
    [[nodiscard]] bool nothing_sent() const { return !streaming_; }
    [[nodiscard]] bool is_complete() const { return current_.complete; }
    [[nodiscard]] bool has_fallback() const { return fallback_.complete; }

private:
    struct answer {
        std::optional<response_head> head;
        std::vector<std::byte> body;
        bool complete = false;
    };

    awaitable<absl::Status> start_streaming();

    response_writer& caller_;
    const std::size_t limit_;
    answer current_;
    answer fallback_;
    bool streaming_ = false;
};

}  // namespace teaselpitch
