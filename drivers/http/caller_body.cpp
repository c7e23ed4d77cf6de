#include "drivers/http/caller_body.h"

#include <algorithm>
#include <cstring>
#include <string_view>
#include <utility>

namespace teaselpitch {

caller_body::caller_body(tcp::socket& socket, beast::flat_buffer& buffer, parser& source,
                         io_deadline& deadline, std::chrono::milliseconds timeout)
    : socket_(socket), buffer_(buffer), parser_(source), deadline_(deadline), timeout_(timeout) {
    on_chunk_header_ = [this](std::uint64_t size, auto, error_code&) { announced_ += size; };
    parser_.on_chunk_header(on_chunk_header_);
}

awaitable<absl::StatusOr<std::size_t>> caller_body::read_some(std::span<std::byte> buffer) {
    if (prefetched_taken_ < prefetched_.size()) {
        const std::size_t size = std::min(buffer.size(), prefetched_.size() - prefetched_taken_);
        std::memcpy(buffer.data(), prefetched_.data() + prefetched_taken_, size);
        prefetched_taken_ += size;
        co_return size;
    }
    co_return co_await read_socket(buffer);
}

awaitable<absl::StatusOr<std::size_t>> caller_body::read_socket(std::span<std::byte> buffer) {
    if (!status_.ok()) {
        co_return status_;
    }
    if (parser_.is_done() || buffer.empty()) {
        co_return std::size_t{0};
    }
    if (continue_due_ && !send_continue()) {
        status_ = absl::UnavailableError("the connection to the caller failed");
        co_return status_;
    }
    auto& body = parser_.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    body.more = true;
    reading_ = true;
    while (!parser_.is_done() && body.size == buffer.size()) {
        deadline_.arm(timeout_);
        auto [error, size] = co_await http::async_read_some(socket_, buffer_, parser_, tuple_awaitable);
        deadline_.disarm();
        if (error && error != http::error::need_buffer) {
            status_ = failure_of(error);
            co_return status_;
        }
    }
    reading_ = false;
    co_return buffer.size() - body.size;
}

absl::Status caller_body::failure_of(error_code error) {
    if (deadline_.expired()) {
        return absl::DeadlineExceededError("the caller sent no more of the body in time");
    }
    if (error == http::error::body_limit) {
        return absl::ResourceExhaustedError("the body exceeds the limit");
    }
    if (error == http::error::partial_message) {
        return absl::InvalidArgumentError("the body ended early");
    }
    if (error.category() == http::make_error_code(http::error::bad_chunk).category()) {
        return absl::InvalidArgumentError("the body is malformed: " + error.message());
    }
    return absl::UnavailableError("the connection to the caller failed: " + error.message());
}

bool caller_body::send_continue() {
    continue_due_ = false;
    // Written at once: a queued write could interleave with the answer, and the socket's send buffer is
    // empty but for earlier pipelined answers.
    constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code error;
    return socket_.write_some(net::buffer(text), error) == text.size();
}

awaitable<absl::Status> caller_body::prefetch(std::size_t limit) {
    const auto length = parser_.content_length();
    const bool whole = length.has_value();
    if (continue_due_ || (whole && *length > limit)) {
        co_return absl::OkStatus();  // The handler may refuse before the caller sends its body.
    }
    std::string data(whole ? static_cast<std::size_t>(*length) : limit, '\0');
    std::size_t filled = 0;
    while (!parser_.is_done() && filled < data.size()) {
        const std::span<char> rest = std::span(data).subspan(filled);
        const absl::StatusOr<std::size_t> size = co_await read_socket(std::as_writable_bytes(rest));
        if (!size.ok()) {
            co_return size.status();
        }
        filled += *size;
        if (!whole && filled >= announced_) {
            break;  // The first chunk is complete; its sender may wait for the answer.
        }
    }
    data.resize(filled);
    prefetched_ = std::move(data);
    co_return absl::OkStatus();
}

bool caller_body::can_discard_rest(std::size_t limit) const {
    if (complete()) {
        return true;
    }
    const auto remaining = parser_.content_length_remaining();
    return !continue_due_ && !reading_ && status_.ok() && (!remaining.has_value() || *remaining <= limit);
}

awaitable<bool> caller_body::discard_rest(std::size_t limit) {
    if (!can_discard_rest(limit)) {
        co_return false;
    }
    std::string scratch(4096, '\0');
    std::size_t total = 0;
    while (!complete() && total <= limit) {
        const absl::StatusOr<std::size_t> size =
            co_await read_socket(std::as_writable_bytes(std::span<char>(scratch)));
        if (!size.ok()) {
            co_return false;
        }
        total += *size;
    }
    co_return complete();
}

bool caller_body::complete() const {
    return parser_.is_done() && !reading_;
}

}  // namespace teaselpitch
