#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "absl/status/status.h"
#include "drivers/http/asio_types.h"
#include "drivers/http/io_deadline.h"
#include "servers/admission/memory_account.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Properties of the request and the connection that determine how its answer is written.
struct caller_writer_settings {
    std::string_view request_id;
    std::string_view node;
    unsigned version = 11;   ///< HTTP version of the caller, 10 or 11.
    bool head_only = false;  ///< The request method is HEAD, so the answer has no body.
    bool keep_alive = true;  ///< The caller may send another request on the connection.
    /// Returns true when the answer must contain Connection: close; null for never.
    std::function<bool()> should_close = nullptr;
    std::chrono::milliseconds timeout{30'000};  ///< Limit of each write.
    bool fleet_fields = true;                   ///< Adds the Teaselpitch-* fields.
    /// Completes when the answers to earlier requests of the connection have been sent; null when there are
    /// none.
    std::function<awaitable<void>()> wait_for_earlier_answers = nullptr;
    memory_account* account = nullptr;  ///< Charged with the bytes of each write while it lasts.
};

/// Writes one answer to a caller's connection. The last byte of an answer with Content-Length is sent only by
/// finish(), so an aborted answer is always incomplete.
class caller_writer final : public response_writer {
public:
    caller_writer(tcp::socket& socket, io_deadline& deadline, const caller_writer_settings& settings);

    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override;
    void abort() override;

    /// True after write_head() was called.
    [[nodiscard]] bool started() const { return started_; }
    /// True after the whole answer was written.
    [[nodiscard]] bool finished() const { return finished_; }
    /// True after the answer was aborted or a write failed.
    [[nodiscard]] bool failed() const { return failed_; }
    /// True when the connection may carry another request; valid after finish().
    [[nodiscard]] bool keep_alive() const { return keep_alive_; }

private:
    enum class framing : std::uint8_t { none, sized, chunked, until_close };

    void choose_framing(const response_head& head);
    void add_fleet_fields(std::string& text, const response_head& head) const;
    std::string format_head(const response_head& head) const;
    awaitable<absl::Status> write_sized(std::span<const std::byte> data);
    awaitable<absl::Status> write_chunk(std::span<const std::byte> data);
    awaitable<absl::Status> send(std::string_view prefix, std::span<const std::byte> data,
                                 std::string_view suffix);
    awaitable<absl::Status> flush();

    tcp::socket& socket_;
    io_deadline& deadline_;
    caller_writer_settings settings_;
    framing framing_ = framing::none;
    std::uint64_t remaining_ = 0;  // Body bytes that write_body() has yet to receive, with Content-Length.
    std::string pending_;          // Received from the handler but not sent yet.
    bool keep_alive_ = false;
    bool started_ = false;
    bool finished_ = false;
    bool failed_ = false;
};

}  // namespace teaselpitch
