#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <optional>
#include <string>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// A body that returns a text in chunks of a fixed size.
class chunked_text_body final : public body_reader {
public:
    explicit chunked_text_body(std::string text, std::size_t chunk_bytes = 7)
        : text_(std::move(text)), chunk_bytes_(chunk_bytes) {}

    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override {
        const std::size_t count = std::min({buffer.size(), chunk_bytes_, text_.size() - position_});
        std::copy_n(reinterpret_cast<const std::byte*>(text_.data()) + position_, count, buffer.begin());
        position_ += count;
        co_return count;
    }

    [[nodiscard]] std::size_t consumed() const { return position_; }

private:
    std::string text_;
    std::size_t chunk_bytes_;
    std::size_t position_ = 0;
};

/// A writer that records the answer.
class recording_writer final : public response_writer {
public:
    awaitable<absl::Status> write_head(const response_head& head) override {
        head_ = head;
        co_return absl::OkStatus();
    }
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override {
        body_.append(reinterpret_cast<const char*>(data.data()), data.size());
        co_return absl::OkStatus();
    }
    awaitable<absl::Status> finish() override {
        finished_ = true;
        co_return absl::OkStatus();
    }
    void abort() override { aborted_ = true; }

    [[nodiscard]] const std::optional<response_head>& head() const { return head_; }
    [[nodiscard]] const std::string& body() const { return body_; }
    [[nodiscard]] bool finished() const { return finished_; }
    [[nodiscard]] bool aborted() const { return aborted_; }

private:
    std::optional<response_head> head_;
    std::string body_;
    bool finished_ = false;
    bool aborted_ = false;
};

/// Reads a body to its end or its first error.
inline awaitable<std::string> read_all(body_reader& body) {
    std::string text;
    std::byte buffer[16];
    while (true) {
        const absl::StatusOr<std::size_t> count = co_await body.read_some(buffer);
        if (!count.ok() || *count == 0) {
            co_return text;
        }
        text.append(reinterpret_cast<const char*>(buffer), *count);
    }
}

/// Runs a coroutine to completion and returns its result.
template <typename T>
T run_until_complete(awaitable<T> task) {
    boost::asio::io_context context;
    std::optional<T> result;
    boost::asio::co_spawn(context, std::move(task), [&result](std::exception_ptr error, T value) {
        if (error) {
            std::rethrow_exception(error);
        }
        result = std::move(value);
    });
    context.run();
    return std::move(*result);
}

}  // namespace teaselpitch
