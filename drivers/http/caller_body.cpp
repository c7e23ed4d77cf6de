#include "drivers/http/caller_body.h"

#include <algorithm>
#include <cstring>
#include <string_view>
#include <utility>

namespace teaselpitch {

caller_body::caller_body(tcp::socket& socket, beast::flat_buffer& buffer, parser& source,
                         io_deadline& deadline, std::chrono::milliseconds timeout)
    : socket_(socket), buffer_(buffer), parser_(source), deadline_(deadline), timeout_(timeout) {
    chunk_header_callback_ = [this](std::uint64_t size, auto, error_code&) {
        announced_chunk_bytes_ += size;
    };
    parser_.on_chunk_header(chunk_header_callback_);
}

awaitable<absl::StatusOr<std::size_t>> caller_body::read_some(std::span<std::byte> buffer) {
    if (prefetched_read_ < prefetched_.size()) {
        const std::size_t size = std::min(buffer.size(), prefetched_.size() - prefetched_read_);
        std::memcpy(buffer.data(), prefetched_.data() + prefetched_read_, size);
        prefetched_read_ += size;
        co_return size;
    }
    co_return co_await read_from_socket(buffer);
}

awaitable<absl::StatusOr<std::size_t>> caller_body::read_from_socket(std::span<std::byte> buffer) {
    if (!status_.ok()) {
        co_return status_;
    }
    if (parser_.is_done() || buffer.empty()) {
        co_return std::size_t{0};
    }
    if (continue_pending_ && !send_continue()) {
        status_ =
            absl::UnavailableError("the interim answer 100 Continue could not be written to the caller");
        co_return status_;
    }
    auto& body = parser_.get().body();
    body.data = buffer.data();
    body.size = buffer.size();
    body.more = true;
    read_in_progress_ = true;
    while (!parser_.is_done() && body.size == buffer.size()) {
        deadline_.arm(timeout_);
        auto [error, size] = co_await http::async_read_some(socket_, buffer_, parser_, tuple_awaitable);
        deadline_.disarm();
        if (error && error != http::error::need_buffer) {
            status_ = status_from_error(error);
            co_return status_;
        }
    }
    read_in_progress_ = false;
    report_bytes(buffer.size() - body.size);
    co_return buffer.size() - body.size;
}

void caller_body::report_bytes(std::size_t count) {
    // A caller that sends single bytes makes no progress: 4 KB take 3 ms on the slowest link (10 Mbit/s).
    constexpr std::uint64_t progress_bytes = 4'096;
    received_ += count;
    if (account_ == nullptr) {
        return;
    }
    if (received_ - reported_until_ >= progress_bytes) {
        reported_until_ = received_;
        account_->note_progress();
    }
    if (is_complete() || received_ >= read_ahead_) {
        account_->set_sent(true);
    }
}

absl::Status caller_body::status_from_error(error_code error) {
    if (deadline_.expired()) {
        return absl::DeadlineExceededError("the caller sent no further body bytes before the timeout");
    }
    if (error == http::error::body_limit) {
        return absl::ResourceExhaustedError("the body exceeds the size limit");
    }
    if (error == http::error::partial_message) {
        return absl::InvalidArgumentError("the connection ended before the end of the body");
    }
    if (error.category() == http::make_error_code(http::error::bad_chunk).category()) {
        return absl::InvalidArgumentError("the body is malformed: " + error.message());
    }
    return absl::UnavailableError("the connection to the caller failed: " + error.message());
}

bool caller_body::send_continue() {
    continue_pending_ = false;
    // Written synchronously: an asynchronous write could interleave with the answer. The send buffer of the
    // socket contains nothing but earlier pipelined answers.
    constexpr std::string_view text = "HTTP/1.1 100 Continue\r\n\r\n";
    error_code error;
    return socket_.write_some(net::buffer(text), error) == text.size();
}

awaitable<absl::Status> caller_body::prefetch(std::size_t limit) {
    const auto length = parser_.content_length();
    const bool has_length = length.has_value();
    if (continue_pending_ || (has_length && *length > limit)) {
        co_return absl::OkStatus();  // The handler can reject the request before the caller sends its body.
    }
    std::string data(has_length ? static_cast<std::size_t>(*length) : limit, '\0');
    std::size_t filled = 0;
    while (!parser_.is_done() && filled < data.size()) {
        const std::span<char> rest = std::span(data).subspan(filled);
        const absl::StatusOr<std::size_t> size = co_await read_from_socket(std::as_writable_bytes(rest));
        if (!size.ok()) {
            co_return size.status();
        }
        filled += *size;
        if (!has_length && filled >= announced_chunk_bytes_) {
            break;  // The first chunk is complete; the caller may wait for an answer before it sends more.
        }
    }
    data.resize(filled);
    prefetched_ = std::move(data);
    co_return absl::OkStatus();
}

bool caller_body::can_discard_rest(std::size_t limit) const {
    if (is_complete()) {
        return true;
    }
    const auto remaining = parser_.content_length_remaining();
    return !continue_pending_ && !read_in_progress_ && status_.ok() &&
           (!remaining.has_value() || *remaining <= limit);
}

awaitable<bool> caller_body::discard_rest(std::size_t limit) {
    if (!can_discard_rest(limit)) {
        co_return false;
    }
    std::string scratch(4096, '\0');
    std::size_t discarded = 0;
    while (!is_complete() && discarded <= limit) {
        const absl::StatusOr<std::size_t> size =
            co_await read_from_socket(std::as_writable_bytes(std::span<char>(scratch)));
        if (!size.ok()) {
            co_return false;
        }
        discarded += *size;
    }
    co_return is_complete();
}

bool caller_body::is_complete() const {
    return parser_.is_done() && !read_in_progress_;
}

}  // namespace teaselpitch
