#include "drivers/peer/h2_session.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <vector>

#include "core/event_log.h"
#include "drivers/peer/h2_callbacks.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;
namespace asio = boost::asio;
using clock = std::chrono::steady_clock;
constexpr auto as_result = asio::as_tuple(asio::use_awaitable);

constexpr std::size_t read_buffer_bytes = 65'536;
// Limit for the bytes collected for one socket write. A stream accepts data while its queue is shorter.
constexpr std::size_t write_batch_bytes = 65'536;
constexpr std::uint64_t max_window_bytes = 0x7fffffff;
// Delay between the shutdown notice and the final GOAWAY, so that requests in flight are still accepted.
constexpr std::chrono::milliseconds goaway_delay{50};
// The closing side waits this long for the peer to close first, so that the last answer is not lost.
constexpr std::chrono::milliseconds linger_timeout{1000};

std::vector<nghttp2_nv> to_nghttp2_fields(const h2_fields& fields) {
    std::vector<nghttp2_nv> values;
    values.reserve(fields.size());
    for (const auto& [name, value] : fields) {
        // Values differ for each request, so indexing them would only evict useful entries from the HPACK
        // table.
        values.push_back({const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(name.data())),
                          const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(value.data())),
                          name.size(), value.size(),
                          name.starts_with(':') ? std::uint8_t{NGHTTP2_NV_FLAG_NONE}
                                                : std::uint8_t{NGHTTP2_NV_FLAG_NO_INDEX}});
    }
    return values;
}

nghttp2_data_provider make_body_provider(h2_stream& stream) {
    nghttp2_data_provider provider{};
    provider.source.ptr = &stream;
    provider.read_callback = h2_callbacks::read_body;
    return provider;
}

absl::Status stream_closed_status(const h2_stream& stream) {
    return stream.expired ? absl::DeadlineExceededError("the deadline of the stream expired")
                          : absl::CancelledError("the stream is closed");
}

}  // namespace

h2_session::h2_session(asio::ip::tcp::socket socket, const h2_session_options& options,
                       h2_session_hooks hooks)
    : socket_(std::move(socket)),
      options_(options),
      hooks_(std::move(hooks)),
      output_pending_(socket_.get_executor()),
      input_received_(socket_.get_executor()),
      health_timer_(socket_.get_executor()),
      last_received_at_(clock::now()),
      activity_changed_at_(last_received_at_),
      resets_(options_.max_stream_resets_per_second, last_received_at_) {
    session_ = h2_callbacks::create_session(*this, options_);
    submit_settings();
}

h2_session::~h2_session() {
    nghttp2_session_del(session_);
}

void h2_session::submit_settings() {
    const std::uint32_t window =
        options_.role == h2_role::server ? options_.initial_window_bytes : options_.stream_window_bytes;
    const std::array<nghttp2_settings_entry, 3> settings{{
        {NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS, options_.max_concurrent_streams},
        {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, window},
        {NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
    }};
    const std::size_t count = options_.role == h2_role::server ? 2 : 3;
    nghttp2_submit_settings(session_, NGHTTP2_FLAG_NONE, settings.data(), count);
    const std::uint64_t all_streams =
        std::uint64_t{options_.max_concurrent_streams} * options_.stream_window_bytes;
    nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, 0,
                                          static_cast<std::int32_t>(std::min(all_streams, max_window_bytes)));
}

void h2_session::start() {
    const auto run = [this](asio::awaitable<void> (h2_session::*loop)()) {
        asio::co_spawn(
            socket_.get_executor(),
            [self = shared_from_this(), loop]() -> asio::awaitable<void> { co_await (self.get()->*loop)(); },
            asio::detached);
    };
    run(&h2_session::read_loop);
    run(&h2_session::write_loop);
    run(&h2_session::health_check_loop);
}

asio::awaitable<void> h2_session::read_loop() {
    std::vector<std::uint8_t> buffer(read_buffer_bytes);
    while (!closed_) {
        const auto [error, count] = co_await socket_.async_read_some(asio::buffer(buffer), as_result);
        if (closed_) {
            co_return;
        }
        if (error) {
            break;
        }
        last_received_at_ = clock::now();
        ping_pending_ = false;
        input_received_.notify();
        if (nghttp2_session_mem_recv(session_, buffer.data(), count) < 0) {
            break;
        }
        flush();
    }
    close();
}

std::size_t h2_session::collect_output() {
    output_buffer_.clear();
    while (output_buffer_.size() < write_batch_bytes) {
        const std::uint8_t* data = nullptr;
        const ssize_t count = nghttp2_session_mem_send(session_, &data);
        if (count <= 0) {
            break;
        }
        output_buffer_.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(count));
    }
    return output_buffer_.size();
}

asio::awaitable<void> h2_session::write_loop() {
    while (!closed_) {
        if (collect_output() > 0) {
            const auto [error, count] =
                co_await asio::async_write(socket_, asio::buffer(output_buffer_), as_result);
            if (error) {
                break;
            }
            continue;
        }
        if (nghttp2_session_want_read(session_) == 0 && nghttp2_session_want_write(session_) == 0) {
            co_await linger();
            break;
        }
        co_await output_pending_.wait();
    }
    close();
}

asio::awaitable<void> h2_session::linger() {
    boost::system::error_code ignored;
    socket_.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    asio::steady_timer timer(socket_.get_executor(), linger_timeout);
    // The read loop closes the session when the peer closes its side of the connection.
    while (!closed_ && timer.expiry() > clock::now()) {
        using namespace asio::experimental::awaitable_operators;
        co_await (input_received_.wait() || timer.async_wait(asio::use_awaitable));
    }
}

clock::time_point h2_session::next_check_time() const {
    if (unresponsive_) {
        return clock::time_point::max();
    }
    if (!streams_.empty()) {
        return ping_pending_ ? ping_sent_at_ + options_.ping_deadline
                             : std::max(last_received_at_, activity_changed_at_) + options_.ping_idle;
    }
    if (options_.idle_timeout > 0ms) {
        return std::max(last_received_at_, activity_changed_at_) + options_.idle_timeout;
    }
    return clock::time_point::max();
}

asio::awaitable<void> h2_session::health_check_loop() {
    while (!closed_) {
        health_timer_.expires_at(next_check_time());
        co_await health_timer_.async_wait(as_result);
        if (!closed_ && clock::now() >= next_check_time()) {
            check_health();
        }
    }
}

void h2_session::check_health() {
    if (streams_.empty()) {
        drain();
        activity_changed_at_ = clock::now();
        return;
    }
    if (!ping_pending_) {
        nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
        ping_pending_ = true;
        ping_sent_at_ = clock::now();
        flush();
        return;
    }
    boost::system::error_code error;
    if (socket_.available(error) > 0) {
        // Unread bytes in the socket show that this process was delayed, not the peer.
        last_received_at_ = clock::now();
        ping_pending_ = false;
        return;
    }
    end_unresponsive();
}

void h2_session::end_unresponsive() {
    unresponsive_ = true;
    if (hooks_.on_unresponsive) {
        hooks_.on_unresponsive();
    }
    std::vector<std::shared_ptr<h2_stream>> ended;
    for (const auto& [id, stream] : streams_) {
        if (!stream->waits_for_unresponsive_peer) {
            ended.push_back(stream);
        }
    }
    for (const std::shared_ptr<h2_stream>& stream : ended) {
        // If the peer continues, it must not work on a stream that nobody waits for.
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream->id, NGHTTP2_CANCEL);
        stream->connection_lost = true;
        streams_.erase(stream->id);
        end_stream(stream);
    }
    flush();
    if (streams_.empty()) {
        close();
    }
}

asio::awaitable<bool> h2_session::wait_for_settings() {
    while (!settings_received_ && !closed_) {
        co_await input_received_.wait();
    }
    co_return !closed_;
}

asio::awaitable<bool> h2_session::verify() {
    using namespace asio::experimental::awaitable_operators;
    const clock::time_point before = last_received_at_;
    asio::steady_timer timer(socket_.get_executor(), options_.ping_deadline);
    nghttp2_submit_ping(session_, NGHTTP2_FLAG_NONE, nullptr);
    flush();
    while (!closed_ && last_received_at_ == before && clock::now() < timer.expiry()) {
        co_await (input_received_.wait() || timer.async_wait(asio::use_awaitable));
    }
    boost::system::error_code error;
    if (!closed_ && last_received_at_ == before && socket_.available(error) == 0) {
        end_unresponsive();
    }
    co_return usable();
}

std::shared_ptr<h2_stream> h2_session::open_stream(const h2_fields& head, bool has_body) {
    auto stream = std::make_shared<h2_stream>(socket_.get_executor());
    if (!usable()) {
        stream->closed = true;
        stream->close_code = NGHTTP2_REFUSED_STREAM;
        return stream;
    }
    const std::vector<nghttp2_nv> values = to_nghttp2_fields(head);
    nghttp2_data_provider provider = make_body_provider(*stream);
    stream->id = nghttp2_submit_request(session_, nullptr, values.data(), values.size(),
                                        has_body ? &provider : nullptr, nullptr);
    if (stream->id < 0) {
        stream->closed = true;
        stream->close_code = NGHTTP2_REFUSED_STREAM;
        return stream;
    }
    add_stream(stream);
    flush();
    return stream;
}

void h2_session::respond(h2_stream& stream, const h2_fields& head, bool has_body) {
    if (stream.closed || closed_) {
        return;
    }
    const std::vector<nghttp2_nv> values = to_nghttp2_fields(head);
    nghttp2_data_provider provider = make_body_provider(stream);
    nghttp2_submit_response(session_, stream.id, values.data(), values.size(),
                            has_body ? &provider : nullptr);
    flush();
}

asio::awaitable<absl::Status> h2_session::wait_for_window(std::shared_ptr<h2_stream> stream) {
    while (!stream->is_over()) {
        if (stream->head_sent && nghttp2_session_get_stream_remote_window_size(session_, stream->id) > 0) {
            co_return absl::OkStatus();
        }
        co_await stream->changed.wait();
    }
    co_return stream_closed_status(*stream);
}

asio::awaitable<absl::Status> h2_session::send(std::shared_ptr<h2_stream> stream,
                                               std::span<const std::byte> data) {
    while (!stream->is_over()) {
        if (stream->outbound.size() < write_batch_bytes) {
            stream->outbound.push(data);
            nghttp2_session_resume_data(session_, stream->id);
            flush();
            co_return absl::OkStatus();
        }
        co_await stream->changed.wait();
    }
    co_return stream_closed_status(*stream);
}

void h2_session::finish(h2_stream& stream, h2_fields trailer) {
    if (stream.closed || stream.local_ended) {
        return;
    }
    stream.local_ended = true;
    if (!trailer.empty()) {
        stream.trailer_to_send = std::move(trailer);
    }
    nghttp2_session_resume_data(session_, stream.id);
    flush();
}

asio::awaitable<absl::StatusOr<std::size_t>> h2_session::receive(std::shared_ptr<h2_stream> stream,
                                                                 std::span<std::byte> buffer) {
    while (stream->inbound.empty() && !stream->remote_ended && !stream->is_over()) {
        co_await stream->changed.wait();
    }
    const std::size_t count = stream->inbound.pop(buffer);
    if (count > 0) {
        if (!stream->closed) {
            nghttp2_session_consume_stream(session_, stream->id, count);
            flush();
        }
        co_return count;
    }
    if (stream->remote_ended) {
        co_return std::size_t{0};
    }
    co_return stream_closed_status(*stream);
}

void h2_session::grant_window(const h2_stream& stream) {
    if (!stream.closed) {
        nghttp2_session_set_local_window_size(session_, NGHTTP2_FLAG_NONE, stream.id,
                                              static_cast<std::int32_t>(options_.stream_window_bytes));
        flush();
    }
}

void h2_session::reset(const h2_stream& stream, std::uint32_t error_code) {
    if (!stream.closed && !closed_) {
        nghttp2_submit_rst_stream(session_, NGHTTP2_FLAG_NONE, stream.id, error_code);
        flush();
    }
}

void h2_session::drain() {
    if (closed_ || going_away_) {
        return;
    }
    going_away_ = true;
    if (options_.role == h2_role::client) {
        nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, 0, NGHTTP2_NO_ERROR, nullptr, 0);
        flush();
        return;
    }
    nghttp2_submit_shutdown_notice(session_);
    flush();
    auto timer = std::make_shared<asio::steady_timer>(socket_.get_executor(), goaway_delay);
    timer->async_wait([self = shared_from_this(), timer](const boost::system::error_code&) {
        if (!self->closed_) {
            self->submit_final_goaway(NGHTTP2_NO_ERROR);
        }
    });
}

// nghttp2 accepts streams until it writes a queued GOAWAY. The peer sends the requests of excluded streams
// again, so none of them may reach the hook.
void h2_session::accept_request(const std::shared_ptr<h2_stream>& stream) {
    if (final_goaway_queued_) {
        reset(*stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    last_request_id_ = std::max(last_request_id_, stream->id);
    if (hooks_.on_request) {
        hooks_.on_request(stream);
    }
}

void h2_session::count_stream_reset() {
    if (options_.role == h2_role::server && !final_goaway_queued_ && !resets_.take(clock::now())) {
        going_away_ = true;
        log_event(event_level::warning, "peer_stream_reset_limit",
                  {{"max_per_second", options_.max_stream_resets_per_second}});
        submit_final_goaway(NGHTTP2_ENHANCE_YOUR_CALM);
    }
}

void h2_session::submit_final_goaway(std::uint32_t error_code) {
    if (final_goaway_queued_) {
        return;
    }
    final_goaway_queued_ = true;
    nghttp2_submit_goaway(session_, NGHTTP2_FLAG_NONE, last_request_id_, error_code, nullptr, 0);
    flush();
}

void h2_session::close() {
    if (closed_) {
        return;
    }
    closed_ = true;
    boost::system::error_code ignored;
    socket_.close(ignored);
    auto streams = std::exchange(streams_, {});
    for (const auto& [id, stream] : streams) {
        stream->connection_lost = true;
        end_stream(stream);
    }
    output_pending_.notify();
    input_received_.notify();
    health_timer_.cancel();
    if (hooks_.on_closed) {
        hooks_.on_closed();
    }
}

std::size_t h2_session::stream_limit() const {
    return nghttp2_session_get_remote_settings(session_, NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS);
}

std::chrono::milliseconds h2_session::time_since_last_byte() const {
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - last_received_at_);
}

void h2_session::add_stream(const std::shared_ptr<h2_stream>& stream) {
    if (streams_.empty()) {
        activity_changed_at_ = clock::now();
        ping_pending_ = false;
        health_timer_.cancel();
    }
    streams_.emplace(stream->id, stream);
}

void h2_session::close_stream(std::int32_t id, std::uint32_t error_code) {
    auto extracted = streams_.extract(id);
    if (extracted.empty()) {
        return;
    }
    extracted.mapped()->close_code = error_code;
    end_stream(extracted.mapped());
    if (streams_.empty() && unresponsive_) {
        // Posted because callbacks of nghttp2 end streams, too.
        asio::post(socket_.get_executor(), [self = shared_from_this()] { self->close(); });
    } else if (streams_.empty()) {
        activity_changed_at_ = clock::now();
        health_timer_.cancel();
    }
}

void h2_session::end_stream(const std::shared_ptr<h2_stream>& stream) {
    stream->closed = true;
    stream->changed.notify();
    // Posted because a cancelled operation could otherwise call nghttp2 from inside one of its callbacks.
    asio::post(socket_.get_executor(),
               [stream] { stream->handler_cancellation.emit(asio::cancellation_type::terminal); });
}

h2_stream* h2_session::find_stream(std::int32_t id) {
    const auto found = streams_.find(id);
    return found == streams_.end() ? nullptr : found->second.get();
}

}  // namespace teaselpitch
