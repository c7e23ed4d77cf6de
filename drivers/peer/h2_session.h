#pragma once

#include <nghttp2/nghttp2.h>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>

#include "absl/status/status.h"
#include "absl/status/statusor.h"
#include "drivers/peer/async_signal.h"
#include "drivers/peer/h2_stream.h"
#include "drivers/peer/reset_limiter.h"

namespace teaselpitch {

enum class h2_role : std::uint8_t { client, server };

struct h2_session_options {
    h2_role role = h2_role::client;
    std::uint32_t max_concurrent_streams = 256;    ///< Limit for streams opened by the peer.
    std::uint32_t initial_window_bytes = 0;        ///< Servers only: receive window of a new stream.
    std::uint32_t stream_window_bytes = 262'144;   ///< Receive buffer of one stream.
    std::chrono::milliseconds ping_idle{100};      ///< Receive inactivity with open streams before a PING.
    std::chrono::milliseconds ping_deadline{300};  ///< Time to receive any byte after a PING.
    std::chrono::milliseconds idle_timeout{0};     ///< Drains a session without streams; 0 disables it.
    /// Servers only: a peer that resets more streams per second gets GOAWAY. Callers that cancel all
    /// concurrent streams (256) a hundred times per second stay below the limit.
    std::uint32_t max_stream_resets_per_second = 25'600;
};

/// Notifications to the owner of a session. They run on the session's executor.
struct h2_session_hooks {
    std::function<void(std::shared_ptr<h2_stream>)> on_request;  ///< Servers only: request head received.
    /// The peer sent nothing within the ping deadline. The session accepts no new streams from then on.
    std::function<void()> on_unresponsive;
    std::function<void()> on_closed;  ///< The session ended; called once.
};

/// HTTP/2 session over one TCP connection, as client or server. All members must be called on the socket's
/// executor, which must run one handler at a time; the hooks run there too.
class h2_session : public std::enable_shared_from_this<h2_session> {
public:
    h2_session(boost::asio::ip::tcp::socket socket, const h2_session_options& options,
               h2_session_hooks hooks);
    h2_session(const h2_session&) = delete;
    h2_session& operator=(const h2_session&) = delete;
    ~h2_session();

    /// Starts the read, write and health check loops. They own the session until it is closed.
    void start();

    /// Waits for the peer's SETTINGS frame; false when the session is closed first.
    boost::asio::awaitable<bool> wait_for_settings();

    /// Sends a PING and waits for any byte from the peer. Closes the session and returns false when none is
    /// received within the ping deadline.
    boost::asio::awaitable<bool> verify();

    /// Opens a stream; without a body the head has END_STREAM. On a session that is not usable, the returned
    /// stream is closed with REFUSED_STREAM.
    std::shared_ptr<h2_stream> open_stream(const h2_fields& head, bool has_body);

    /// Sends the response head of a stream; without a body the head has END_STREAM.
    void respond(h2_stream& stream, const h2_fields& head, bool has_body);

    /// Waits until the peer's flow control window admits body bytes on this stream. A caller that waits
    /// before it reads the body can send the body to another peer when this one refuses the stream.
    boost::asio::awaitable<absl::Status> wait_for_window(std::shared_ptr<h2_stream> stream);

    /// Waits until the outbound queue of the stream is below its limit, then queues body bytes.
    boost::asio::awaitable<absl::Status> send(std::shared_ptr<h2_stream> stream,
                                              std::span<const std::byte> data);

    /// Ends the local side of the stream after the queued bytes; sends the trailer unless it is empty.
    void finish(h2_stream& stream, h2_fields trailer);

    /// Reads body bytes from the peer; 0 marks the end of a complete body.
    boost::asio::awaitable<absl::StatusOr<std::size_t>> receive(std::shared_ptr<h2_stream> stream,
                                                                std::span<std::byte> buffer);

    /// Raises the receive window of a stream from the initial window to the stream window.
    void grant_window(const h2_stream& stream);

    /// Sends RST_STREAM unless the stream is closed.
    void reset(const h2_stream& stream, std::uint32_t error_code);

    /// Sends GOAWAY; the session closes after its last stream.
    void drain();

    /// Closes the connection immediately; all streams end as on a lost connection.
    void close();

    [[nodiscard]] boost::asio::any_io_executor executor() { return socket_.get_executor(); }
    [[nodiscard]] bool closed() const { return closed_; }
    /// The peer's SETTINGS frame was received.
    [[nodiscard]] bool settings_received() const { return settings_received_; }
    /// True while new streams can be opened.
    [[nodiscard]] bool usable() const {
        return !closed_ && settings_received_ && !going_away_ && !unresponsive_;
    }
    /// The peer stopped responding and has sent nothing since.
    [[nodiscard]] bool peer_is_silent() const { return unresponsive_ && last_received_at_ <= ping_sent_at_; }
    [[nodiscard]] std::size_t open_stream_count() const { return streams_.size(); }
    /// Maximum number of concurrent streams accepted by the peer.
    [[nodiscard]] std::size_t stream_limit() const;
    /// Time since the last byte from the peer.
    [[nodiscard]] std::chrono::milliseconds time_since_last_byte() const;

private:
    friend struct h2_callbacks;

    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<void> write_loop();
    boost::asio::awaitable<void> health_check_loop();
    boost::asio::awaitable<void> linger();
    std::size_t collect_output();
    /// Passes a request to the hook, or refuses it when a queued GOAWAY excludes its stream.
    void accept_request(const std::shared_ptr<h2_stream>& stream);
    /// Sends GOAWAY when the peer resets more streams than the limit allows.
    void count_stream_reset();
    /// Queues the GOAWAY that excludes all streams whose request was not passed to the hook.
    void submit_final_goaway(std::uint32_t error_code);
    void submit_settings();
    void check_health();
    /// Ends all streams except those that wait for an unresponsive peer; without any, closes the session.
    void end_unresponsive();
    std::chrono::steady_clock::time_point next_check_time() const;
    void flush() { output_pending_.notify(); }
    void add_stream(const std::shared_ptr<h2_stream>& stream);
    void close_stream(std::int32_t id, std::uint32_t error_code);
    void end_stream(const std::shared_ptr<h2_stream>& stream);
    h2_stream* find_stream(std::int32_t id);

    boost::asio::ip::tcp::socket socket_;
    h2_session_options options_;
    h2_session_hooks hooks_;
    nghttp2_session* session_ = nullptr;
    // Keyed by HTTP/2 stream ID.
    std::unordered_map<std::int32_t, std::shared_ptr<h2_stream>> streams_;
    async_signal output_pending_;
    async_signal input_received_;
    boost::asio::steady_timer health_timer_;
    std::string output_buffer_;
    std::chrono::steady_clock::time_point last_received_at_;
    std::chrono::steady_clock::time_point activity_changed_at_;
    std::chrono::steady_clock::time_point ping_sent_at_;
    std::int32_t last_request_id_ = 0;  // Highest stream whose request was passed to the hook.
    bool final_goaway_queued_ = false;
    reset_limiter resets_;  // Initialized after last_received_at_.
    bool ping_pending_ = false;
    bool settings_received_ = false;
    bool going_away_ = false;
    bool unresponsive_ = false;  ///< Only streams that wait for an unresponsive peer are left.
    bool closed_ = false;
};

}  // namespace teaselpitch
