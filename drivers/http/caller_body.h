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
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// The body of one caller's request, decoded from its connection by demand.
class caller_body final : public body_reader {
public:
    using parser = http::request_parser<http::buffer_body>;

    caller_body(tcp::socket& socket, beast::flat_buffer& buffer, parser& source, io_deadline& deadline,
                std::chrono::milliseconds timeout);

    /// Fails with ResourceExhausted over the size limit, DeadlineExceeded without progress, and
    /// InvalidArgument on a malformed or short body.
    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override;

    /// Makes the first read send 100 Continue.
    void expect_continue() { continue_due_ = true; }

    /// Reads the start of the body, so that a short or malformed one is refused before it reaches the
    /// handler: all of a sized body or all of the first chunk, if it does not exceed the limit.
    awaitable<absl::Status> prefetch(std::size_t limit);

    /// False when the rest of the body is known to be longer than the limit, or broken.
    [[nodiscard]] bool can_discard_rest(std::size_t limit) const;

    /// Reads and drops the rest of the body; false when it is longer than the limit or broken.
    awaitable<bool> discard_rest(std::size_t limit);

    /// True when the whole body was taken from the connection.
    [[nodiscard]] bool complete() const;

private:
    awaitable<absl::StatusOr<std::size_t>> read_socket(std::span<std::byte> buffer);
    bool send_continue();
    absl::Status failure_of(error_code error);

    tcp::socket& socket_;
    beast::flat_buffer& buffer_;
    parser& parser_;
    io_deadline& deadline_;
    std::chrono::milliseconds timeout_;
    std::string prefetched_;
    std::size_t prefetched_taken_ = 0;
    absl::Status status_;
    std::function<void(std::uint64_t, beast::string_view, error_code&)> on_chunk_header_;
    std::uint64_t announced_ = 0;  // Sum of the chunk sizes so far.
    bool continue_due_ = false;
    bool reading_ = false;  // Stays set when a read was cancelled half-way.
};

}  // namespace teaselpitch
