#pragma once

#include <cstddef>
#include <optional>
#include <vector>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Keeps a short answer until it is whole, so that another attempt can replace one that breaks off or reports
/// a failure of the target. An answer that exceeds the limit streams on to the caller from then on.
class held_answer final : public response_writer {
public:
    held_answer(response_writer& caller, std::size_t limit) : caller_(caller), limit_(limit) {}

    // Commands.
    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override;
    void abort() override;
    /// Sets a whole answer aside and gets ready for the one of the next attempt.
    void set_aside();
    /// Writes the whole answer, or else the one that was set aside, to the caller.
    awaitable<absl::Status> deliver();

    // Queries.
    /// Status of the current attempt's answer; 0 before its head.
    [[nodiscard]] unsigned status() const { return current_.head ? current_.head->status : 0; }
    /// The caller has got nothing yet.
    [[nodiscard]] bool nothing_sent() const { return !streaming_; }
    [[nodiscard]] bool has_whole() const { return current_.whole; }
    [[nodiscard]] bool has_aside() const { return aside_.whole; }

private:
    struct answer {
        std::optional<response_head> head;
        std::vector<std::byte> body;
        bool whole = false;
    };

    awaitable<absl::Status> start_streaming();

    response_writer& caller_;
    const std::size_t limit_;
    answer current_;
    answer aside_;
    bool streaming_ = false;
};

}  // namespace teaselpitch
