#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <span>
#include <string>

#include "absl/status/status.h"
#include "drivers/http/asio_types.h"
#include "drivers/http/io_deadline.h"
#include "servers/admission/memory_account.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Body of one caller's request, decoded from its connection on demand.
class caller_body final : public body_reader {
public:
    using parser = http::request_parser<http::buffer_body>;

    caller_body(tcp::socket& socket, beast::flat_buffer& buffer, parser& source, io_deadline& deadline,
                std::chrono::milliseconds timeout);

    /// Fails with ResourceExhausted when the body exceeds the size limit, DeadlineExceeded when no bytes
    /// arrive in time, InvalidArgument when the body is malformed or incomplete, and Unavailable when the
    /// connection fails.
    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override;

    /// Makes the first read from the socket send 100 Continue.
    void expect_continue() { continue_pending_ = true; }

    /// Reports progress to the account, and that the request may have been sent once its first read_ahead
    /// bytes or the whole body have been read.
    void report_to(memory_account& account, std::size_t read_ahead) {
        account_ = &account;
        read_ahead_ = read_ahead;
    }

    /// Reads the start of the body, so that an incomplete or malformed one is rejected before it reaches the
    /// handler: a body with Content-Length completely, or the first chunk, if it does not exceed the limit in
    /// bytes.
    awaitable<absl::Status> prefetch(std::size_t limit);

    /// False when the rest of the body is known to be longer than the limit in bytes, or a read failed.
    [[nodiscard]] bool can_discard_rest(std::size_t limit) const;

    /// Reads and discards the rest of the body; false when it is longer than the limit in bytes or a read
    /// fails.
    awaitable<bool> discard_rest(std::size_t limit);

    /// True when the whole body has been read from the connection.
    [[nodiscard]] bool is_complete() const;

private:
    awaitable<absl::StatusOr<std::size_t>> read_from_socket(std::span<std::byte> buffer);
    bool send_continue();
    void report_bytes(std::size_t count);
    absl::Status status_from_error(error_code error);

    tcp::socket& socket_;
    beast::flat_buffer& buffer_;
    parser& parser_;
    io_deadline& deadline_;
    std::chrono::milliseconds timeout_;
    std::string prefetched_;
    std::size_t prefetched_read_ = 0;
    absl::Status status_;
    std::function<void(std::uint64_t, beast::string_view, error_code&)> chunk_header_callback_;
    std::uint64_t announced_chunk_bytes_ = 0;  // Sum of the chunk sizes received so far.
    memory_account* account_ = nullptr;
    std::size_t read_ahead_ = 0;
    std::uint64_t received_ = 0;        // Decoded body bytes.
    std::uint64_t reported_until_ = 0;  // Value of received_ at the last report of progress.
    bool continue_pending_ = false;
    bool read_in_progress_ = false;  // Remains set when a read was cancelled before it completed.
};

}  // namespace teaselpitch
