#include "drivers/http/pipelined_answer.h"

#include <utility>

namespace teaselpitch {

pipelined_answer::pipelined_answer(caller_writer& caller, memory_account& account, std::size_t limit_bytes,
                                   pipelined_answer_hooks hooks)
    : caller_(caller), limit_(limit_bytes), hooks_(std::move(hooks)), charge_(&account) {}

awaitable<absl::Status> pipelined_answer::write_head(const response_head& head) {
    hooks_.head_received();
    head_ = head;
    if (!hooks_.has_neighbours() || head.content_length.value_or(0) > limit_) {
        co_return co_await start_streaming();
    }
    co_return absl::OkStatus();
}

awaitable<absl::Status> pipelined_answer::write_body(std::span<const std::byte> data) {
    if (!passing_ && head_) {
        // An answer without neighbours can break off without harm; one above the low mark would take memory
        // that bodies wait for.
        const bool fits = hooks_.has_neighbours() && body_.size() + data.size() <= limit_ &&
                          charge_.try_add(data.size(), memory_mark::low);
        if (fits) {
            body_.insert(body_.end(), data.begin(), data.end());
            co_return absl::OkStatus();
        }
        if (absl::Status started = co_await start_streaming(); !started.ok()) {
            co_return started;
        }
    }
    co_return co_await caller_.write_body(data);
}

awaitable<absl::Status> pipelined_answer::finish() {
    if (!passing_ && head_) {
        if (absl::Status sent = co_await send_held(); !sent.ok()) {
            co_return sent;
        }
    }
    co_return co_await caller_.finish();
}

void pipelined_answer::abort() {
    if (passing_) {
        caller_.abort();
    }
    head_.reset();
    body_.clear();
    charge_.set(0);
}

awaitable<absl::Status> pipelined_answer::start_streaming() {
    hooks_.streaming_started();
    co_return co_await send_held();
}

awaitable<absl::Status> pipelined_answer::send_held() {
    passing_ = true;
    const response_head head = *std::exchange(head_, std::nullopt);
    absl::Status written = co_await caller_.write_head(head);
    if (written.ok() && !body_.empty()) {
        written = co_await caller_.write_body(body_);
    }
    body_ = std::vector<std::byte>();
    charge_.set(0);
    co_return written;
}

}  // namespace teaselpitch
