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

namespace teaselpitch {

enum class h2_role : std::uint8_t { client, server };

struct h2_session_options {
    h2_role role = h2_role::client;
    std::uint32_t max_concurrent_streams = 256;  ///< Streams that the peer may open.
    std::uint32_t initial_window = 0;       ///< Bytes that a peer may send on a stream before it is read.
    std::uint32_t stream_window = 262'144;  ///< Bytes that are buffered for one stream.
    std::chrono::milliseconds ping_idle{100};
    std::chrono::milliseconds ping_deadline{300};
    std::chrono::milliseconds idle_timeout{0};  ///< Closes a session without streams; 0 keeps it open.
};

/// What a session tells its owner. The hooks run on the session's executor.
struct h2_session_hooks {
    std::function<void(std::shared_ptr<h2_stream>)> on_request;  ///< A request head arrived; servers only.
    std::function<void()> on_silent;                             ///< The ping deadline passed.
    std::function<void()> on_closed;                             ///< The session ended; called once.
};

/// One HTTP/2 session over one TCP connection, for either role. All calls and callbacks run on the socket's
/// executor, which must run one handler at a time.
class h2_session : public std::enable_shared_from_this<h2_session> {
public:
    h2_session(boost::asio::ip::tcp::socket socket, const h2_session_options& options,
               h2_session_hooks hooks);
    h2_session(const h2_session&) = delete;
    h2_session& operator=(const h2_session&) = delete;
    ~h2_session();

    /// Starts the read, write and watch loops; each keeps the session alive until it is closed.
    void start();

    /// Waits until the peer's settings arrived; false when the session ended before.
    boost::asio::awaitable<bool> wait_ready();

    /// Sends a PING and waits for any byte of the peer; closes the session when none comes in time.
    boost::asio::awaitable<bool> verify();

    /// Opens a stream; without a body the head ends it. On a session that is not usable the stream is closed
    /// as refused.
    std::shared_ptr<h2_stream> open(const h2_fields& head, bool has_body);

    /// Answers a stream; without a body the head ends it.
    void respond(h2_stream& stream, const h2_fields& head, bool has_body);

    /// Waits until the peer takes body bytes on this stream. Guards a body that must stay unread until then.
    boost::asio::awaitable<absl::Status> wait_window(std::shared_ptr<h2_stream> stream);

    /// Queues body bytes; returns when the queue is short enough to take them.
    boost::asio::awaitable<absl::Status> send(std::shared_ptr<h2_stream> stream,
                                              std::span<const std::byte> data);

    /// Ends the local side after the queued bytes, with a trailer unless it is empty.
    void finish(h2_stream& stream, h2_fields trailer);

    /// Reads body bytes of the peer; 0 is the end of a whole body.
    boost::asio::awaitable<absl::StatusOr<std::size_t>> receive(std::shared_ptr<h2_stream> stream,
                                                                std::span<std::byte> buffer);

    /// Allows the peer to send body bytes on a stream that was opened with the initial window.
    void grant(const h2_stream& stream);

    /// Ends a stream with RST_STREAM unless it is closed.
    void reset(const h2_stream& stream, std::uint32_t error_code);

    /// Sends GOAWAY; the session closes when its streams have finished.
    void drain();

    /// Closes the connection at once and ends each stream.
    void close();

    [[nodiscard]] boost::asio::any_io_executor executor() { return socket_.get_executor(); }
    [[nodiscard]] bool closed() const { return closed_; }
    /// The settings of the peer arrived.
    [[nodiscard]] bool ready() const { return ready_; }
    /// New streams can be opened.
    [[nodiscard]] bool usable() const { return !closed_ && ready_ && !going_away_; }
    [[nodiscard]] std::size_t open_streams() const { return streams_.size(); }
    /// Streams that the peer accepts at a time.
    [[nodiscard]] std::size_t stream_limit() const;
    /// Time since the last byte of the peer.
    [[nodiscard]] std::chrono::milliseconds silence() const;

private:
    friend struct h2_callbacks;

    boost::asio::awaitable<void> read_loop();
    boost::asio::awaitable<void> write_loop();
    boost::asio::awaitable<void> watch_loop();
    boost::asio::awaitable<void> linger();
    std::size_t collect_output();
    void submit_settings();
    void check_silence();
    void give_up();
    std::chrono::steady_clock::time_point next_check() const;
    void flush() { output_.notify(); }
    void add_stream(const std::shared_ptr<h2_stream>& stream);
    void close_stream(std::int32_t id, std::uint32_t error_code);
    void end_stream(const std::shared_ptr<h2_stream>& stream);
    h2_stream* find(std::int32_t id);

    boost::asio::ip::tcp::socket socket_;
    h2_session_options options_;
    h2_session_hooks hooks_;
    nghttp2_session* session_ = nullptr;
    // Keyed by HTTP/2 stream id.
    std::unordered_map<std::int32_t, std::shared_ptr<h2_stream>> streams_;
    async_signal output_;
    async_signal received_;
    boost::asio::steady_timer watch_;
    std::string output_bytes_;
    std::chrono::steady_clock::time_point last_received_;
    std::chrono::steady_clock::time_point busy_since_;
    std::chrono::steady_clock::time_point ping_sent_;
    bool ping_pending_ = false;
    bool ready_ = false;
    bool going_away_ = false;
    bool closed_ = false;
};

}  // namespace teaselpitch
