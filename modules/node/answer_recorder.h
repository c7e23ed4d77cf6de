#pragma once

#include <optional>

#include "servers/claims/stored_answer.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Forwards an answer and keeps a copy of it while its body fits into `max_bytes`.
class answer_recorder final : public response_writer {
public:
    answer_recorder(response_writer& inner, std::size_t max_bytes) : inner_(inner), max_bytes_(max_bytes) {}

    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override { return inner_.finish(); }
    void abort() override { inner_.abort(); }

    /// Returns the complete answer, or an empty value when it exceeded the limit. Valid after the target has
    /// finished.
    [[nodiscard]] const std::optional<stored_answer>& answer() const { return answer_; }

private:
    response_writer& inner_;
    const std::size_t max_bytes_;
    std::optional<stored_answer> answer_;
};

}  // namespace teaselpitch
