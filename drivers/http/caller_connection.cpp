#include "drivers/http/caller_connection.h"

#include <poll.h>

#include <algorithm>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <utility>
#include <variant>

#include "drivers/http/error_reply.h"
#include "drivers/http/header_rules.h"

namespace teaselpitch {
namespace {

constexpr std::size_t max_buffered = std::size_t{128} * 1024;
constexpr std::size_t read_step = std::size_t{4} * 1024;
/// A body up to this size is read before the handler starts.
constexpr std::size_t prefetch_limit = std::size_t{16} * 1024;
/// More than this is not worth reading only to keep the connection.
constexpr std::size_t discard_limit = std::size_t{64} * 1024;
constexpr std::chrono::milliseconds watch_interval{20};
/// Time for the caller to take the last answer before the socket closes.
constexpr std::chrono::milliseconds linger_limit{1'000};
constexpr std::size_t linger_bytes = std::size_t{1024} * 1024;

/// True when the caller closed its sending side or the connection failed, even with unread bytes waiting.
bool peer_closed(tcp::socket& socket) {
    pollfd entry{socket.native_handle(), POLLRDHUP, 0};
    return ::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR | POLLNVAL)) != 0;
}

error_kind kind_of_body_failure(const absl::Status& status) {
    return status.code() == absl::StatusCode::kResourceExhausted ? error_kind::body_too_large
                                                                 : error_kind::malformed_request;
}

std::string_view text_of(const absl::Status& status) {
    return {status.message().data(), status.message().size()};
}

/// What the caller is told when the handler wrote no head.
exchange_result failure_of(const exchange_result& result) {
    return result.error == error_kind::none
               ? failed_exchange(error_kind::internal, "the handler gave no answer")
               : result;
}

/// The body of a request without one.
class empty_body final : public body_reader {
public:
    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte>) override {
        co_return std::size_t{0};
    }
};

/// True when the request may run before earlier ones of its connection are answered.
bool may_overlap(const request_head& head, const http::request_header<>& fields) {
    return !head.has_body && (head.method == "GET" || head.method == "HEAD") &&
           fields.count(http::field::expect) == 0;
}

}  // namespace

caller_context::caller_context(caller_server_options options_in, exchange_handler& handler_in,
                               const time_source& clock_in, std::function<std::string()> new_request_id_in)
    : options(std::move(options_in)),
      handler(handler_in),
      clock(clock_in),
      new_request_id(std::move(new_request_id_in)) {}

caller_connection::caller_connection(tcp::socket socket, std::shared_ptr<caller_context> context)
    : socket_(std::move(socket)),
      context_(std::move(context)),
      buffer_(max_buffered),
      read_deadline_(socket_.get_executor(),
                     [this] {
                         error_code ignored;
                         socket_.shutdown(tcp::socket::shutdown_receive, ignored);
                     }),
      write_deadline_(socket_.get_executor(), [this] { reset(); }),
      overlapped_changed_(socket_.get_executor(), net::steady_timer::time_point::max()),
      end_requested_(socket_.get_executor(), net::steady_timer::time_point::max()) {}

void caller_connection::close() {
    error_code ignored;
    socket_.close(ignored);
    read_deadline_.disarm();
    write_deadline_.disarm();
}

void caller_connection::reset() {
    reset_socket(socket_);
}

void caller_connection::begin_drain() {
    if (idle_ && overlapped_.empty()) {
        read_deadline_.arm(context_->options.drain_idle_grace);
    }
}

void caller_connection::end_exchanges() {
    ending_ = true;
    end_requested_.cancel();
    const auto running = overlapped_;
    for (const auto& request : running) {
        if (!request->answering) {
            request->cancel.emit(net::cancellation_type::terminal);
        }
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
            open = co_await serve(header_size);
        }
    }
    co_await finish_overlapped();
    co_await close_gracefully();
}

// Nothing more is read from the connection, but the caller can still leave before its answers are out.
awaitable<void> caller_connection::finish_overlapped() {
    using namespace net::experimental::awaitable_operators;
    if (!overlapped_.empty() && !closing_) {
        const auto first = co_await (wait_answered() || watch_caller());
        if (first.index() == 1) {
            cancel_overlapped();
        }
    }
    co_await wait_answered();
}

std::string_view caller_connection::buffered() const {
    return {static_cast<const char*>(buffer_.cdata().data()), buffer_.size()};
}

awaitable<caller_connection::header_outcome> caller_connection::read_header(std::size_t& header_size) {
    const caller_server_options& options = context_->options;
    bool leading_line = true;
    bool timed = false;
    read_deadline_.disarm();
    if (overlapped_.empty()) {
        read_deadline_.arm(context_->draining ? options.drain_idle_grace : options.limits.idle_timeout);
    }
    while (!closing_) {
        // One empty line before a request is tolerated, as RFC 9112 section 2.2 recommends.
        if (leading_line && buffered().size() >= 2) {
            leading_line = false;
            buffer_.consume(buffered().starts_with("\r\n") ? 2 : 0);
        }
        const std::size_t end = buffered().find("\r\n\r\n");
        const std::size_t size = end == std::string_view::npos ? buffered().size() : end + 4;
        if (const auto fault = find_header_fault(buffered().substr(0, size))) {
            co_await refuse(error_kind::malformed_request, *fault);
            co_return header_outcome::refused;
        }
        if (size > options.limits.max_header_bytes) {
            co_await refuse(error_kind::header_too_large, "the header exceeds the limit");
            co_return header_outcome::refused;
        }
        if (end != std::string_view::npos) {
            read_deadline_.disarm();
            header_size = size;
            co_return header_outcome::complete;
        }
        if (!timed && size > 0) {
            timed = true;
            read_deadline_.arm(options.limits.header_timeout);
        }
        idle_ = size == 0;
        auto [error, count] = co_await socket_.async_read_some(buffer_.prepare(read_step), tuple_awaitable);
        idle_ = false;
        if (error) {
            co_return co_await header_ended(error);
        }
        buffer_.commit(count);
    }
    co_return header_outcome::closed;
}

awaitable<caller_connection::header_outcome> caller_connection::header_ended(error_code error) {
    if (closing_ || buffered().empty() || (error != net::error::eof && !read_deadline_.expired())) {
        co_return header_outcome::closed;
    }
    co_await refuse(error_kind::malformed_request, read_deadline_.expired()
                                                       ? "the header did not arrive in time"
                                                       : "the header ended early");
    co_return header_outcome::refused;
}

awaitable<bool> caller_connection::serve(std::size_t header_size) {
    parser source;
    source.header_limit(context_->options.limits.max_header_bytes + 1);
    source.body_limit(context_->options.limits.max_body_bytes);
    error_code error;
    const std::size_t used = source.put(net::buffer(buffered().data(), header_size), error);
    buffer_.consume(used);
    if (error || !source.is_header_done()) {
        // The text is a local: GCC 12 destroys a conditional temporary of a co_await expression twice.
        const std::string detail = error ? error.message() : std::string("the header is not complete");
        const bool too_large = error == http::error::body_limit;
        co_await refuse(too_large ? error_kind::body_too_large : error_kind::malformed_request, detail);
        co_return false;
    }
    co_return co_await serve_parsed(source);
}

awaitable<bool> caller_connection::serve_parsed(parser& parser) {
    absl::StatusOr<request_head> head = make_request_head(
        parser.get(), context_->clock.now(), context_->options.max_timeout, context_->options.dialect);
    if (!head.ok()) {
        co_await refuse(error_kind::malformed_request, text_of(head.status()));
        co_return false;
    }
    if (head->request_id.empty()) {
        head->request_id = context_->new_request_id();
    }
    terms_ = {.version = parser.get().version(), .keep_alive = parser.keep_alive()};
    if (may_overlap(*head, parser.get())) {
        while (overlapped_.size() >= context_->options.max_overlapped && !closing_) {
            co_await overlapped_changed_.async_wait(tuple_awaitable);
        }
        start_overlapped(*std::move(head), terms_);
        co_return terms_.keep_alive;
    }
    co_await wait_answered();
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

void caller_connection::start_overlapped(request_head head, request_terms terms) {
    auto request = std::make_shared<overlapped_request>();
    request->head = std::move(head);
    request->terms = terms;
    request->turn = next_turn_++;
    overlapped_.insert(request);
    ++context_->open_exchanges;
    net::co_spawn(socket_.get_executor(), run_overlapped(request),
                  net::bind_cancellation_slot(request->cancel.slot(), [self = shared_from_this(),
                                                                       request](const std::exception_ptr&) {
                      self->overlapped_ended(request);
                  }));
}

awaitable<void> caller_connection::run_overlapped(std::shared_ptr<overlapped_request> request) {
    empty_body body;
    caller_writer_settings settings = writer_settings(request->head, request->terms);
    settings.wait_turn = [this, request] {
        request->answering = true;
        return wait_turn(request->turn);
    };
    caller_writer writer(socket_, write_deadline_, settings);
    exchange_result result = failed_exchange(error_kind::cancelled, "the caller went away");
    co_await run_handler(request->head, body, writer, result);
    // From here on closing_ ends the coroutine; a cancelled state would make its end throw in co_spawn.
    co_await net::this_coro::reset_cancellation_state(net::disable_cancellation());
    request->answering = true;
    if (!closing_) {
        const exchange_result truth = ended_or(std::move(result));
        co_await answer_overlapped(*request, writer, truth);
    }
}

awaitable<void> caller_connection::answer_overlapped(const overlapped_request& request, caller_writer& writer,
                                                     const exchange_result& result) {
    co_await wait_turn(request.turn);
    bool open = false;
    if (closing_) {
        co_return;
    }
    if (writer.finished()) {
        open = writer.keep_alive();
    } else if (writer.started()) {
        writer.abort();
    } else {
        const exchange_result failure = failure_of(result);
        const bool keep = request.terms.keep_alive && !closes_after_answer();
        open = co_await send_error(failure, request.head, request.terms, !keep) && keep;
    }
    if (!open) {
        stop_reading();
        cancel_overlapped();
    }
}

void caller_connection::overlapped_ended(const std::shared_ptr<overlapped_request>& request) {
    overlapped_.erase(request);
    --context_->open_exchanges;
    answered_ = std::max(answered_, request->turn + 1);
    overlapped_changed_.cancel();
    if (idle_ && overlapped_.empty() && !closing_) {
        read_deadline_.arm(context_->draining ? context_->options.drain_idle_grace
                                              : context_->options.limits.idle_timeout);
    }
}

void caller_connection::cancel_overlapped() {
    closing_ = true;
    const auto running = overlapped_;
    for (const auto& request : running) {
        request->cancel.emit(net::cancellation_type::terminal);
    }
    overlapped_changed_.cancel();
}

void caller_connection::stop_reading() {
    closing_ = true;
    // Only the read of the next header can be pending: the last answer has been written.
    error_code ignored;
    socket_.cancel(ignored);
}

awaitable<void> caller_connection::wait_turn(std::uint64_t turn) {
    while (answered_ < turn && !closing_) {
        co_await overlapped_changed_.async_wait(tuple_awaitable);
    }
}

awaitable<void> caller_connection::wait_answered() {
    while (!overlapped_.empty()) {
        co_await overlapped_changed_.async_wait(tuple_awaitable);
        const net::cancellation_state state = co_await net::this_coro::cancellation_state;
        if (state.cancelled() != net::cancellation_type::none) {
            co_return;
        }
    }
}

caller_writer_settings caller_connection::writer_settings(const request_head& head,
                                                          const request_terms& terms) const {
    caller_writer_settings settings;
    settings.request_id = head.request_id;
    settings.node = context_->options.node;
    settings.version = terms.version;
    settings.head_only = head.method == "HEAD";
    settings.keep_alive = terms.keep_alive;
    settings.closes = [this] { return closes_after_answer(); };
    settings.timeout = context_->options.write_timeout;
    settings.fleet_fields = context_->options.dialect.adds_fleet_fields_to_answers;
    return settings;
}

awaitable<bool> caller_connection::run_request(parser& parser, const request_head& head) {
    caller_body body(socket_, buffer_, parser, read_deadline_, context_->options.body_timeout);
    if (head.has_body) {
        const std::string_view expect = parser.get()[http::field::expect];
        if (!expect.empty() && terms_.version >= 11) {
            body.expect_continue();
        }
        const absl::Status status = co_await body.prefetch(prefetch_limit);
        if (!status.ok()) {
            co_await refuse(kind_of_body_failure(status), text_of(status));
            co_return false;
        }
    }
    caller_writer writer(socket_, write_deadline_, writer_settings(head, terms_));
    bool caller_gone = false;
    exchange_result result = co_await run_exchange(head, body, writer, caller_gone);
    terms_.keep_alive = terms_.keep_alive && !caller_gone;
    if (caller_gone && result.error == error_kind::cancelled && !body.complete()) {
        result.error = error_kind::malformed_request;
        result.detail = "the caller closed its connection before the body was read";
    }
    const bool open = co_await finish(result, head, body, writer);
    co_return open && !caller_gone;
}

awaitable<void> caller_connection::run_handler(const request_head& head, body_reader& body,
                                               caller_writer& writer, exchange_result& result) {
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
                                                           caller_writer& writer, bool& caller_gone) {
    using namespace net::experimental::awaitable_operators;
    exchange_result result = failed_exchange(error_kind::cancelled, "the caller went away");
    const auto first =
        co_await (run_handler(head, body, writer, result) || watch_caller() || wait_end(writer));
    caller_gone = first.index() == 1;
    co_return ended_or(std::move(result));
}

// A close would also discard the requests behind this one, some of which may have run.
bool caller_connection::closes_after_answer() const {
    return context_->draining && overlapped_.size() <= 1;
}

// Completes when the request must be ended, which it is not while its answer is on the way.
awaitable<void> caller_connection::wait_end(const caller_writer& writer) {
    while (!ending_ || writer.started()) {
        co_await end_requested_.async_wait(tuple_awaitable);
        const net::cancellation_state state = co_await net::this_coro::cancellation_state;
        if (state.cancelled() != net::cancellation_type::none) {
            co_return;
        }
    }
}

exchange_result caller_connection::ended_or(exchange_result result) const {
    if (ending_ && result.error == error_kind::cancelled) {
        return failed_exchange(error_kind::target_timeout, "the node stops before the target has answered");
    }
    return result;
}

awaitable<void> caller_connection::watch_caller() {
    net::steady_timer timer(socket_.get_executor());
    while (!peer_closed(socket_)) {
        auto [error] = co_await socket_.async_wait(tcp::socket::wait_read, tuple_awaitable);
        if (error || peer_closed(socket_)) {
            break;
        }
        // Unread bytes of the body or of a pipelined request keep the socket readable.
        timer.expires_after(watch_interval);
        co_await timer.async_wait(tuple_awaitable);
    }
}

awaitable<bool> caller_connection::finish(const exchange_result& result, const request_head& head,
                                          caller_body& body, caller_writer& writer) {
    if (writer.started()) {
        if (!writer.finished()) {
            writer.abort();
            co_return false;
        }
        // An answer that promised to keep the connection is kept to, also when a drain has started since.
        co_return writer.keep_alive() && co_await body.discard_rest(discard_limit);
    }
    const exchange_result failure = failure_of(result);
    // The answer goes out before the rest of the body is read: the caller may wait for it.
    const bool open = terms_.keep_alive && !context_->draining && body.can_discard_rest(discard_limit);
    const bool sent = co_await send_error(failure, head, terms_, !open);
    co_return open&& sent&& co_await body.discard_rest(discard_limit);
}

awaitable<bool> caller_connection::send_error(const exchange_result& result, const request_head& head,
                                              const request_terms& terms, bool close) {
    error_reply_context context;
    context.request_id = head.request_id;
    context.node = context_->options.node;
    context.close = close;
    context.keep_alive = !close && terms.version < 11;
    context.head_only = head.method == "HEAD";
    context.dialect = &context_->options.dialect;
    const std::string text = format_error_reply(result, context);
    write_deadline_.arm(context_->options.write_timeout);
    auto [error, size] = co_await net::async_write(socket_, net::buffer(text), tuple_awaitable);
    write_deadline_.disarm();
    co_return !error;
}

awaitable<void> caller_connection::refuse(error_kind kind, std::string_view detail) {
    read_deadline_.disarm();
    const std::string reason(detail);
    co_await wait_answered();
    if (closing_) {
        co_return;
    }
    request_head head;
    if (!context_->options.dialect.callers_set_request_id) {
        head.request_id = context_->new_request_id();
    }
    const exchange_result result = failed_exchange(kind, reason);
    co_await send_error(result, head, terms_, true);
}

awaitable<void> caller_connection::close_gracefully() {
    // Closing with unread bytes would reset the connection, and the caller could lose the last answer.
    error_code error;
    socket_.shutdown(tcp::socket::shutdown_send, error);
    read_deadline_.arm(linger_limit);
    std::size_t total = 0;
    while (!error && total < linger_bytes) {
        buffer_.clear();
        auto [read_error, count] =
            co_await socket_.async_read_some(buffer_.prepare(read_step), tuple_awaitable);
        error = read_error;
        total += count;
    }
    close();
}

}  // namespace teaselpitch
