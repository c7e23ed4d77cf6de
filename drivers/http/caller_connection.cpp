#include "drivers/http/caller_connection.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <variant>

#include "drivers/http/error_reply.h"
#include "drivers/http/header_rules.h"

namespace teaselpitch {
namespace {

constexpr std::size_t read_chunk_bytes = std::size_t{4} * 1024;
/// Bodies up to this size are read before the handler starts.
constexpr std::size_t prefetch_limit_bytes = std::size_t{16} * 1024;
/// Longer bodies are not read only to keep the connection open.
constexpr std::size_t discard_limit_bytes = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds caller_poll_interval{20};
/// Memory of an idle connection: its coroutine, timers, account and read buffer.
constexpr std::size_t connection_bytes = std::size_t{8} * 1024;
/// Time for the caller to receive the last answer before the socket is closed.
constexpr std::chrono::milliseconds linger_timeout{1'000};
constexpr std::size_t max_linger_bytes = std::size_t{1024} * 1024;

/// True when the caller closed its sending side or the connection failed, even when unread bytes remain.
bool is_closed_by_caller(tcp::socket& socket) {
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

std::uint32_t hash_address(const net::ip::address& address) {
    const auto hash = [](const auto& bytes) {
        return static_cast<std::uint32_t>(
            stable_hash({reinterpret_cast<const char*>(bytes.data()), bytes.size()}));
    };
    return address.is_v4() ? hash(address.to_v4().to_bytes()) : hash(address.to_v6().to_bytes());
}

error_kind body_error_kind(const absl::Status& status) {
    return status.code() == absl::StatusCode::kResourceExhausted ? error_kind::body_too_large
                                                                 : error_kind::malformed_request;
}

std::string_view status_message(const absl::Status& status) {
    return {status.message().data(), status.message().size()};
}

/// True when the request may run before earlier requests of its connection are answered.
bool can_overlap(const request_head& head, const http::request_header<>& fields) {
    return !head.has_body && (head.method == "GET" || head.method == "HEAD") &&
           fields.count(http::field::expect) == 0;
}

}  // namespace

caller_connection::caller_connection(tcp::socket socket, const tcp::endpoint& peer,
                                     std::shared_ptr<caller_context> context)
    : socket_(std::move(socket)),
      caller_(hash_address(peer.address())),
      context_(std::move(context)),
      buffer_(max_unparsed_bytes),
      account_(context_->options.memory, context_.get()),
      connection_charge_(&account_),
      read_deadline_(socket_.get_executor(),
                     [this] {
                         error_code ignored;
                         socket_.shutdown(tcp::socket::shutdown_receive, ignored);
                     }),
      write_deadline_(socket_.get_executor(), [this] { reset(); }),
      overlapped_changed_(socket_.get_executor(), net::steady_timer::time_point::max()),
      termination_requested_(socket_.get_executor(), net::steady_timer::time_point::max()) {
    connection_charge_.set(connection_bytes);
}

void caller_connection::close() {
    waiting_for_request_ = false;
    error_code ignored;
    socket_.close(ignored);
    read_deadline_.disarm();
    write_deadline_.disarm();
}

void caller_connection::reset() {
    reset_socket(socket_);
}

void caller_connection::end_for_memory() {
    ended_for_memory_ = true;
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_receive, ignored);
}

void caller_connection::begin_drain() {
    if (waiting_for_request_ && overlapped_.empty()) {
        read_deadline_.arm(context_->options.drain_idle_grace);
    }
}

awaitable<void> caller_connection::run() {
    const auto self = shared_from_this();
    bool open = true;
    while (open && !closing_) {
        std::size_t header_size = 0;
        const header_outcome outcome = co_await read_header(header_size);
        if (outcome == header_outcome::closed && !closing_ && !read_deadline_.expired()) {
            cancel_overlapped();
        }
        open = outcome == header_outcome::complete && !closing_;
        if (open) {
            open = co_await serve_request(header_size);
        }
    }
    co_await finish_overlapped();
    co_await close_gracefully();
}

std::string_view caller_connection::buffered() const {
    return {static_cast<const char*>(buffer_.cdata().data()), buffer_.size()};
}

awaitable<caller_connection::header_outcome> caller_connection::read_header(std::size_t& header_size) {
    const caller_server_options& options = context_->options;
    bool may_skip_empty_line = true;
    bool header_timeout_armed = false;
    read_deadline_.disarm();
    if (overlapped_.empty()) {
        read_deadline_.arm(context_->draining ? options.drain_idle_grace : options.limits.idle_timeout);
    }
    while (!closing_) {
        // One empty line before a request is ignored, as RFC 9112 section 2.2 recommends.
        if (may_skip_empty_line && buffered().size() >= 2) {
            may_skip_empty_line = false;
            buffer_.consume(buffered().starts_with("\r\n") ? 2 : 0);
        }
        const std::size_t end = buffered().find("\r\n\r\n");
        const std::size_t size = end == std::string_view::npos ? buffered().size() : end + 4;
        if (const auto header_error = find_header_error(buffered().substr(0, size))) {
            co_await reject_request(error_kind::malformed_request, *header_error);
            co_return header_outcome::refused;
        }
        if (size > options.limits.max_header_bytes) {
            co_await reject_request(error_kind::header_too_large, "the header exceeds the size limit");
            co_return header_outcome::refused;
        }
        if (end != std::string_view::npos) {
            read_deadline_.disarm();
            header_size = size;
            co_return header_outcome::complete;
        }
        if (!header_timeout_armed && size > 0) {
            header_timeout_armed = true;
            read_deadline_.arm(options.limits.header_timeout);
        }
        waiting_for_request_ = size == 0;
        idle_since_ = context_->clock.now();
        connection_charge_.set(connection_bytes + size);
        auto [error, count] =
            co_await socket_.async_read_some(buffer_.prepare(read_chunk_bytes), tuple_awaitable);
        waiting_for_request_ = false;
        if (error) {
            co_return co_await handle_header_read_error(error);
        }
        buffer_.commit(count);
    }
    co_return header_outcome::closed;
}

awaitable<caller_connection::header_outcome> caller_connection::handle_header_read_error(error_code error) {
    if (closing_ || buffered().empty() || (error != net::error::eof && !read_deadline_.expired())) {
        co_return header_outcome::closed;
    }
    if (ended_for_memory_) {
        co_await reject_request(error_kind::memory_limited, "the memory of the unfinished header is needed");
        co_return header_outcome::refused;
    }
    co_await reject_request(error_kind::malformed_request,
                            read_deadline_.expired() ? "the header was not complete before the timeout"
                                                     : "the connection ended before the end of the header");
    co_return header_outcome::refused;
}

awaitable<bool> caller_connection::serve_request(std::size_t header_size) {
    parser source;
    source.header_limit(context_->options.limits.max_header_bytes + 1);
    source.body_limit(context_->options.limits.max_body_bytes);
    error_code error;
    const std::size_t used = source.put(net::buffer(buffered().data(), header_size), error);
    buffer_.consume(used);
    if (error || !source.is_header_done()) {
        // The text is a local: GCC 12 destroys a conditional temporary of a co_await expression twice.
        const std::string detail = error ? error.message() : std::string("the header is incomplete");
        const bool too_large = error == http::error::body_limit;
        co_await reject_request(too_large ? error_kind::body_too_large : error_kind::malformed_request,
                                detail);
        co_return false;
    }
    co_return co_await serve_parsed_request(source);
}

awaitable<bool> caller_connection::serve_parsed_request(parser& parser) {
    absl::StatusOr<request_head> head = make_request_head(
        parser.get(), context_->clock.now(), context_->options.max_timeout, context_->options.dialect);
    if (!head.ok()) {
        co_await reject_request(error_kind::malformed_request, status_message(head.status()));
        co_return false;
    }
    if (head->request_id.empty()) {
        head->request_id = context_->new_request_id();
    }
    head->caller = caller_;
    preferences_ = {.version = parser.get().version(), .keep_alive = parser.keep_alive()};
    if (account_.mark() == memory_mark::critical) {
        co_return co_await refuse_for_memory(*head, "the node holds as many bytes as it may");
    }
    if (can_overlap(*head, parser.get())) {
        if (!co_await wait_for_slot()) {
            co_return false;
        }
        start_overlapped(*std::move(head), preferences_);
        co_return preferences_.keep_alive;
    }
    co_await finish_overlapped();
    if (closing_) {
        co_return false;
    }
    ++context_->open_exchanges;
    bool open = false;
    try {
        open = co_await run_request(parser, *head);
    } catch (...) {
        --context_->open_exchanges;
        throw;
    }
    --context_->open_exchanges;
    co_return open;
}

caller_writer_settings caller_connection::writer_settings(const request_head& head,
                                                          const connection_preferences& preferences) {
    caller_writer_settings settings;
    settings.request_id = head.request_id;
    settings.node = context_->options.node;
    settings.version = preferences.version;
    settings.head_only = head.method == "HEAD";
    settings.keep_alive = preferences.keep_alive;
    settings.should_close = [this] { return should_close_after_answer(); };
    settings.timeout = context_->options.write_timeout;
    settings.account = &account_;
    settings.fleet_fields = context_->options.dialect.adds_fleet_fields_to_answers;
    return settings;
}

awaitable<bool> caller_connection::run_request(parser& parser, const request_head& head) {
    caller_body body(socket_, buffer_, parser, read_deadline_, context_->options.body_timeout);
    memory_charge body_charge(&account_);
    account_.set_sent(!head.has_body);
    if (head.has_body) {
        if (!co_await reserve_body(head, body_charge)) {
            co_return co_await refuse_for_memory(head, "the bodies of other requests take the memory");
        }
        body.report_to(account_, context_->options.read_ahead_bytes);
        const std::string_view expect = parser.get()[http::field::expect];
        if (!expect.empty() && preferences_.version >= 11) {
            body.expect_continue();
        }
        const absl::Status status = co_await body.prefetch(prefetch_limit_bytes);
        if (!status.ok() && ended_for_memory_) {
            co_return co_await refuse_for_memory(head, "the body made no progress while others waited");
        }
        if (!status.ok()) {
            co_await reject_request(body_error_kind(status), status_message(status));
            co_return false;
        }
    }
    caller_writer writer(socket_, write_deadline_, writer_settings(head, preferences_));
    bool caller_closed = false;
    exchange_result result = co_await run_exchange(head, body, writer, caller_closed);
    preferences_.keep_alive = preferences_.keep_alive && !caller_closed;
    if (caller_closed && result.error == error_kind::cancelled && !body.is_complete()) {
        result.error = error_kind::malformed_request;
        result.detail = "the caller closed the connection before the body was read completely";
    }
    account_.set_sent(true);  // The answer is sent without interruption.
    result = replace_if_ended_for_memory(std::move(result));
    const bool open = co_await finish_request(result, head, body, writer);
    account_.set_sent(false);
    co_return open && !caller_closed;
}

awaitable<void> caller_connection::run_handler(const request_head& head, body_reader& body,
                                               response_writer& writer, exchange_result& result) {
    try {
        result = co_await context_->handler.exchange(head, body, writer);
    } catch (const boost::system::system_error& error) {
        const bool cancelled = error.code() == net::error::operation_aborted;
        result = failed_exchange(cancelled ? error_kind::cancelled : error_kind::internal, error.what());
    } catch (const std::exception& error) {
        result = failed_exchange(error_kind::internal, error.what());
    }
}

awaitable<exchange_result> caller_connection::run_exchange(const request_head& head, caller_body& body,
                                                           caller_writer& writer, bool& caller_closed) {
    using namespace net::experimental::awaitable_operators;
    exchange_result result = failed_exchange(error_kind::cancelled, "the caller closed the connection");
    const auto first = co_await (run_handler(head, body, writer, result) || wait_for_caller_close() ||
                                 wait_for_termination(writer));
    caller_closed = first.index() == 1;
    co_return replace_if_terminated(std::move(result));
}

// Completes when the request must be terminated. A request whose answer has been started is not terminated.
awaitable<void> caller_connection::wait_for_termination(const caller_writer& writer) {
    while (!terminating_ || writer.started()) {
        co_await termination_requested_.async_wait(tuple_awaitable);
        const net::cancellation_state state = co_await net::this_coro::cancellation_state;
        if (state.cancelled() != net::cancellation_type::none) {
            co_return;
        }
    }
}

exchange_result caller_connection::replace_if_ended_for_memory(exchange_result result) const {
    const bool not_run = result.execution == execution_state::not_run;
    if (ended_for_memory_ && result.error != error_kind::none && not_run) {
        return failed_exchange(error_kind::memory_limited, "the body made no progress while others waited");
    }
    return result;
}

// Waits for the memory of the part of the body that the handler reads ahead; the rest is streamed. Returns
// false when the request must be refused.
awaitable<bool> caller_connection::reserve_body(const request_head& head, memory_charge& charge) {
    const caller_server_options& options = context_->options;
    if (options.memory == nullptr) {
        co_return true;
    }
    const auto bytes = static_cast<std::size_t>(std::min<std::uint64_t>(
        head.content_length.value_or(options.read_ahead_bytes), options.read_ahead_bytes));
    // A small body takes about as much as a head, so it needs not wait behind large ones.
    const memory_mark mark = bytes <= prefetch_limit_bytes ? memory_mark::high : memory_mark::low;
    const steady_time end = context_->clock.now() + options.memory_wait;
    std::optional<memory_waiter> waiter;
    net::steady_timer timer(socket_.get_executor());
    while (!charge.try_add(bytes, mark)) {
        if (account_.mark() >= memory_mark::high || context_->clock.now() >= end ||
            is_closed_by_caller(socket_)) {
            co_return false;
        }
        if (!waiter) {
            waiter.emplace(*options.memory);
        }
        account_.note_progress();  // It is not the caller that makes this one wait.
        timer.expires_after(caller_poll_interval);
        co_await timer.async_wait(tuple_awaitable);
    }
    account_.note_progress();
    co_return true;
}

awaitable<bool> caller_connection::refuse_for_memory(const request_head& head, std::string_view detail) {
    const exchange_result result = failed_exchange(error_kind::memory_limited, detail);
    if (context_->options.memory != nullptr) {
        context_->options.memory->count(memory_action::request_refused);
    }
    co_await finish_overlapped();
    if (!closing_) {
        co_await send_error(result, head, preferences_, true);
    }
    co_return false;
}

exchange_result caller_connection::replace_if_terminated(exchange_result result) const {
    if (terminating_ && result.error == error_kind::cancelled) {
        return failed_exchange(error_kind::target_timeout, "the node is stopping before the target answered");
    }
    return result;
}

awaitable<void> caller_connection::wait_for_caller_close() {
    // end_for_memory() looks like a close of the caller, but a request that is complete by then goes on.
    const auto closed = [this] { return !ended_for_memory_ && is_closed_by_caller(socket_); };
    net::steady_timer timer(socket_.get_executor());
    while (!closed()) {
        auto [error] = co_await socket_.async_wait(tcp::socket::wait_read, tuple_awaitable);
        if (error || closed()) {
            break;
        }
        // Unread bytes of the body or of a pipelined request keep the socket readable, so the close is polled
        // for.
        timer.expires_after(caller_poll_interval);
        co_await timer.async_wait(tuple_awaitable);
    }
}

awaitable<bool> caller_connection::finish_request(const exchange_result& result, const request_head& head,
                                                  caller_body& body, caller_writer& writer) {
    if (writer.started()) {
        if (!writer.finished()) {
            writer.abort();
            co_return false;
        }
        // If the answer announced that the connection stays open, it does, even when a drain has started
        // since.
        co_return writer.keep_alive() && co_await body.discard_rest(discard_limit_bytes);
    }
    const exchange_result failure = to_error_result(result);
    // The answer is sent before the rest of the body is read, because the caller may wait for the answer.
    const bool open =
        preferences_.keep_alive && !context_->draining && body.can_discard_rest(discard_limit_bytes);
    const bool sent = co_await send_error(failure, head, preferences_, !open);
    co_return open&& sent&& co_await body.discard_rest(discard_limit_bytes);
}

awaitable<bool> caller_connection::send_error(const exchange_result& result, const request_head& head,
                                              const connection_preferences& preferences, bool close) {
    error_reply_context context;
    context.request_id = head.request_id;
    context.node = context_->options.node;
    context.close = close;
    context.keep_alive = !close && preferences.version < 11;
    context.head_only = head.method == "HEAD";
    context.dialect = &context_->options.dialect;
    const std::string text = format_error_reply(result, context);
    write_deadline_.arm(context_->options.write_timeout);
    auto [error, size] = co_await net::async_write(socket_, net::buffer(text), tuple_awaitable);
    write_deadline_.disarm();
    co_return !error;
}

awaitable<void> caller_connection::reject_request(error_kind kind, std::string_view detail) {
    read_deadline_.disarm();
    const std::string reason(detail);
    co_await finish_overlapped();
    if (closing_) {
        co_return;
    }
    request_head head;
    if (!context_->options.dialect.callers_set_request_id) {
        head.request_id = context_->new_request_id();
    }
    const exchange_result result = failed_exchange(kind, reason);
    co_await send_error(result, head, preferences_, true);
}

awaitable<void> caller_connection::close_gracefully() {
    // Closing a socket with unread bytes would reset the connection, and the caller could lose the last
    // answer.
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    read_deadline_.arm(linger_timeout);
    std::size_t discarded = 0;
    while (!error && discarded < max_linger_bytes) {
        buffer_.clear();
        auto [read_error, count] =
            co_await socket_.async_read_some(buffer_.prepare(read_chunk_bytes), tuple_awaitable);
        error = read_error;
        discarded += count;
    }
    close();
}

}  // namespace teaselpitch
