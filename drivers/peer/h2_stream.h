#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "drivers/peer/async_signal.h"
#include "drivers/peer/byte_queue.h"

namespace teaselpitch {

/// Fields of one HTTP/2 header block, pseudo-header fields first.
using h2_fields = std::vector<std::pair<std::string, std::string>>;

/// Returns the value of the first field with this name; nullopt when there is none.
std::optional<std::string_view> find_field(const h2_fields& fields, std::string_view name);

/// State of one HTTP/2 stream, updated by its session. Coroutines on the same executor wait on `changed`.
struct h2_stream {
    explicit h2_stream(const boost::asio::any_io_executor& executor) : changed(executor) {}

    std::int32_t id = -1;

    h2_fields head;               ///< First header block received.
    h2_fields trailer;            ///< Second header block received.
    std::size_t field_bytes = 0;  ///< Of both blocks, with the memory that each field takes besides.
    bool head_received = false;
    bool remote_ended = false;  ///< END_STREAM was received.
    byte_queue inbound;         ///< Limited by the stream's receive window.

    bool head_sent = false;  ///< The head was serialized, so the peer may receive it.
    byte_queue outbound;     ///< Limited by h2_session::send.
    bool local_ended = false;
    bool aborted = false;  ///< Discards body bytes that are still queued.
    std::optional<h2_fields> trailer_to_send;

    bool closed = false;
    std::uint32_t close_code = 0;  ///< HTTP/2 error code with which the stream was closed.
    bool connection_lost = false;  ///< The session was closed before the stream.
    bool expired = false;          ///< The local deadline expired.
    /// The stream outlasts a connection that stopped responding, as its answer cannot be asked for again.
    bool waits_for_unresponsive_peer = false;

    std::shared_ptr<void> memory;  ///< What the owner of the session charges for the stream.

    async_signal changed;
    boost::asio::cancellation_signal handler_cancellation;  ///< Cancels the server's handler of the stream.

    /// True when no further event from the peer is expected.
    [[nodiscard]] bool is_over() const { return closed || expired; }
};

}  // namespace teaselpitch
