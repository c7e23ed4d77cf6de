#include "modules/proxy/held_answer.h"

#include <utility>

namespace teaselpitch {

awaitable<absl::Status> held_answer::write_head(const response_head& head) {
    current_ = answer{};
    current_.head = head;
    if (limit_ == 0 || head.content_length.value_or(0) > limit_) {
        co_return co_await start_streaming();
    }
    co_return absl::OkStatus();
}

awaitable<absl::Status> held_answer::write_body(std::span<const std::byte> data) {
    if (!streaming_ && current_.body.size() + data.size() > limit_) {
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

awaitable<absl::Status> held_answer::finish() {
    if (streaming_) {
        co_return co_await caller_.finish();
    }
    current_.whole = true;
    co_return absl::OkStatus();
}

void held_answer::abort() {
    if (streaming_) {
        caller_.abort();
    }
    current_ = answer{};
}

void held_answer::set_aside() {
    if (current_.whole) {
        aside_ = std::move(current_);
    }
    current_ = answer{};
}

awaitable<absl::Status> held_answer::deliver() {
    if (!current_.whole) {
        std::swap(current_, aside_);
    }
    if (!current_.whole) {
        co_return absl::FailedPreconditionError("there is no whole answer");
    }
    if (absl::Status started = co_await start_streaming(); !started.ok()) {
        co_return started;
    }
    co_return co_await caller_.finish();
}

awaitable<absl::Status> held_answer::start_streaming() {
    streaming_ = true;
    response_head head = *current_.head;
    if (current_.whole && !head.content_length && head.has_body) {
        // The whole body is known, so the caller need not get it in chunks.
        head.content_length = current_.body.size();
    }
    absl::Status written = co_await caller_.write_head(head);
    if (written.ok() && !current_.body.empty()) {
        written = co_await caller_.write_body(current_.body);
    }
    current_.body.clear();
    co_return written;
}

}  // namespace teaselpitch
