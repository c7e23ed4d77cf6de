#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "drivers/peer/async_signal.h"
#include "drivers/peer/byte_queue.h"

namespace teaselpitch {

/// Header fields of one HTTP/2 message, pseudo-header fields first.
using h2_fields = std::vector<std::pair<std::string, std::string>>;

/// The value of the first field with this name; empty when there is none.
std::optional<std::string_view> find_field(const h2_fields& fields, std::string_view name);

/// State of one HTTP/2 stream. The session fills it; coroutines of the same executor wait on `changed`.
struct h2_stream {
    explicit h2_stream(const boost::asio::any_io_executor& executor) : changed(executor) {}

    std::int32_t id = -1;

    h2_fields head;     ///< First header block received.
    h2_fields trailer;  ///< Second header block received.
    std::size_t field_bytes = 0;
    bool head_received = false;
    bool remote_ended = false;  ///< The peer's END_STREAM arrived.
    byte_queue inbound;         ///< Bounded by the stream's receive window.

    bool head_sent = false;  ///< The head was serialised, so its bytes may reach the peer.
    byte_queue outbound;     ///< Bounded by h2_session::send.
    bool local_ended = false;
    bool aborted = false;  ///< Stops the sending of body bytes that are still queued.
    std::optional<h2_fields> trailer_to_send;

    bool closed = false;
    std::uint32_t close_code = 0;  ///< HTTP/2 error code of the close.
    bool connection_lost = false;  ///< The session ended before the stream did.
    bool expired = false;          ///< The deadline passed on this side.

    async_signal changed;
    boost::asio::cancellation_signal handler_cancellation;  ///< Cancels the coroutine that serves the stream.

    /// No further event of the peer can arrive.
    [[nodiscard]] bool over() const { return closed || expired; }
};

}  // namespace teaselpitch
