#pragma once

#include <optional>

#include "servers/claims/stored_answer.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Passes an answer through and keeps a copy as long as it is small enough.
class answer_recorder final : public response_writer {
public:
    answer_recorder(response_writer& inner, std::size_t max_bytes) : inner_(inner), max_bytes_(max_bytes) {}

    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override { return inner_.finish(); }
    void abort() override { inner_.abort(); }

    /// The whole answer; empty when it was too large. Valid after the target has finished.
    [[nodiscard]] const std::optional<stored_answer>& answer() const { return answer_; }

private:
    response_writer& inner_;
    const std::size_t max_bytes_;
    std::optional<stored_answer> answer_;
};

}  // namespace teaselpitch
