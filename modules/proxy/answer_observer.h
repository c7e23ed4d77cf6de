#pragma once

#include "core/clock.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Forwards an answer and records its status and the time of its head.
class answer_observer final : public response_writer {
public:
    answer_observer(response_writer& inner, const time_source& clock) : inner_(inner), clock_(clock) {}

    awaitable<absl::Status> write_head(const response_head& head) override {
        status_ = head.status;
        head_time_ = clock_.now();
        return inner_.write_head(head);
    }
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override {
        return inner_.write_body(data);
    }
    awaitable<absl::Status> finish() override { return inner_.finish(); }
    void abort() override { inner_.abort(); }

    /// Returns 0 before the head was written.
    [[nodiscard]] unsigned status() const { return status_; }
    [[nodiscard]] std::optional<steady_time> head_time() const { return head_time_; }

private:
    response_writer& inner_;
    const time_source& clock_;
    unsigned status_ = 0;
    std::optional<steady_time> head_time_;
};

}  // namespace teaselpitch
