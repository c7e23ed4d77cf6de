#include "modules/proxy/buffered_answer.h"

#include <utility>

namespace teaselpitch {

awaitable<absl::Status> buffered_answer::write_head(const response_head& head) {
    current_ = answer{};
    current_.head = head;
    current_.charge = memory_charge(account_);
    if (limit_ == 0 || head.content_length.value_or(0) > limit_) {
        co_return co_await start_streaming();
    }
    co_return absl::OkStatus();
}

awaitable<absl::Status> buffered_answer::write_body(std::span<const std::byte> data) {
    if (!streaming_ && (current_.body.size() + data.size() > limit_ ||
                        !current_.charge.try_add(data.size(), memory_mark::low))) {
        if (absl::Status started = co_await start_streaming(); !started.ok()) {
            co_return started;
        }
    }
    if (streaming_) {
        co_return co_await caller_.write_body(data);
    }
    current_.body.insert(current_.body.end(), data.begin(), data.end());
    co_return absl::OkStatus();
}

awaitable<absl::Status> buffered_answer::finish() {
    if (streaming_) {
        co_return co_await caller_.finish();
    }
    current_.complete = true;
    co_return absl::OkStatus();
}

void buffered_answer::abort() {
    if (streaming_) {
        caller_.abort();
    }
    current_ = answer{};
}

void buffered_answer::store_fallback() {
    if (current_.complete) {
        fallback_ = std::move(current_);
    }
    current_ = answer{};
}

awaitable<absl::Status> buffered_answer::deliver() {
    if (!current_.complete) {
        std::swap(current_, fallback_);
    }
    if (!current_.complete) {
        co_return absl::FailedPreconditionError("no complete answer is buffered");
    }
    if (absl::Status started = co_await start_streaming(); !started.ok()) {
        co_return started;
    }
    co_return co_await caller_.finish();
}

awaitable<absl::Status> buffered_answer::start_streaming() {
    streaming_ = true;
    response_head head = *current_.head;
    if (current_.complete && !head.content_length && head.has_body) {
        // The complete body is buffered, so the caller gets its length instead of a chunked body.
        head.content_length = current_.body.size();
    }
    absl::Status written = co_await caller_.write_head(head);
    if (written.ok() && !current_.body.empty()) {
        written = co_await caller_.write_body(current_.body);
    }
    current_.body = {};
    current_.charge.set(0);
    co_return written;
}

}  // namespace teaselpitch
