#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "servers/admission/memory_account.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Buffers a short answer until it is complete, so that another attempt can replace an answer that is cut off
/// or that reports a failure of the target. An answer that exceeds the limit is streamed to the caller.
class buffered_answer final : public response_writer {
public:
    /// An account, if any, is charged with the buffered bytes, and an answer that would pass its low mark is
    /// streamed.
    buffered_answer(response_writer& caller, std::size_t limit, memory_account* account = nullptr)
        : caller_(caller), limit_(limit), account_(account) {}

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
        memory_charge charge{};
    };

    awaitable<absl::Status> start_streaming();

    response_writer& caller_;
    const std::size_t limit_;
    memory_account* const account_;
    answer current_;
    answer fallback_;
    bool streaming_ = false;
};

}  // namespace teaselpitch
