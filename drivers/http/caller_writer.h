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
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// What the answer of one request must follow.
struct caller_writer_settings {
    std::string_view request_id;
    std::string_view node;
    unsigned version = 11;   ///< HTTP version of the caller, 10 or 11.
    bool head_only = false;  ///< The request was HEAD.
    bool keep_alive = true;  ///< The caller allows another request on the connection.
    /// When it returns true, the answer says Connection: close; null for never.
    std::function<bool()> closes = nullptr;
    std::chrono::milliseconds timeout{30'000};
    bool fleet_fields = true;  ///< Adds the Teaselpitch-* fields.
    /// Completes when the answers to earlier requests of the connection are out; null when there are none.
    std::function<awaitable<void>()> wait_turn = nullptr;
};

/// Writes one answer to a caller's connection. The last bytes of a sized answer are held back until
/// finish(), so an answer that is broken off is always short.
class caller_writer final : public response_writer {
public:
    caller_writer(tcp::socket& socket, io_deadline& deadline, const caller_writer_settings& settings);

    awaitable<absl::Status> write_head(const response_head& head) override;
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override;
    awaitable<absl::Status> finish() override;
    void abort() override;

    /// True from write_head() on.
    [[nodiscard]] bool started() const { return started_; }
    /// True when the whole answer was written.
    [[nodiscard]] bool finished() const { return finished_; }
    /// True when the answer was broken off or a write failed.
    [[nodiscard]] bool broken() const { return broken_; }
    /// True when the connection may carry another request; valid after finish().
    [[nodiscard]] bool keep_alive() const { return keep_alive_; }

private:
    enum class framing : std::uint8_t { none, sized, chunked, until_close };

    void choose_framing(const response_head& head);
    void add_fleet_fields(std::string& text, const response_head& head) const;
    std::string format_head(const response_head& head) const;
    awaitable<absl::Status> write_sized(std::span<const std::byte> data);
    awaitable<absl::Status> write_chunk(std::span<const std::byte> data);
    awaitable<absl::Status> send(std::string_view first, std::span<const std::byte> second,
                                 std::string_view third);
    awaitable<absl::Status> flush();

    tcp::socket& socket_;
    io_deadline& deadline_;
    caller_writer_settings settings_;
    framing framing_ = framing::none;
    std::uint64_t remaining_ = 0;  // Bytes of a sized answer that were not handed over yet.
    std::string pending_;          // Handed over but not sent.
    bool keep_alive_ = false;
    bool started_ = false;
    bool finished_ = false;
    bool broken_ = false;
};

}  // namespace teaselpitch
