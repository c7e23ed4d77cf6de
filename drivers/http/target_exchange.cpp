#include "drivers/http/target_exchange.h"

#include <algorithm>
#include <array>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/multiple_exceptions.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <chrono>
#include <cstdint>
#include <string_view>
#include <utility>
#include <vector>

#include "drivers/http/answer_head.h"
#include "drivers/http/header_rules.h"
#include "drivers/http/target_request.h"
#include "servers/exchange/field_syntax.h"

namespace teaselpitch {
namespace {

constexpr std::size_t piece_size = std::size_t{32} * 1024;

bool is_connection_closed(error_code error) {
    return error == net::error::eof || error == net::error::connection_reset ||
           error == net::error::broken_pipe || error == http::error::end_of_stream ||
           error == http::error::partial_message;
}

}  // namespace

target_exchange::target_exchange(target_connection_pool& connections, const time_source& clock,
                                 const target_client_options& options,
                                 std::function<bool()> before_first_byte)
    : connections_(connections),
      clock_(clock),
      options_(options),
      before_first_byte_(std::move(before_first_byte)),
      deadline_(connections.executor(), [this] {
          error_code ignored;
          if (connection_ != nullptr) {
              connection_->socket.close(ignored);
          }
      }) {}

awaitable<exchange_result> target_exchange::run(const request_head& head, body_reader& body,
                                                response_writer& writer) {
    exchange_result result;
    try {
        result = co_await try_exchange(head, body, writer);
    } catch (const std::exception& error) {
        result = result_from_exception(error);
    }
    if (head_written_ && result.error != error_kind::none) {
        result.head_written = true;
        writer.abort();
    }
    deadline_.disarm();
    connection_.reset();
    co_return result;
}

awaitable<exchange_result> target_exchange::try_exchange(const request_head& head, body_reader& body,
                                                         response_writer& writer) {
    if (clock_.now() >= head.deadline) {
        co_return failed_exchange(error_kind::deadline_expired,
                                  "the deadline passed before a connection was opened");
    }
    connection_ = connections_.acquire_idle(head.non_idempotent ? options_.non_idempotent_idle_timeout
                                                                : options_.idle_timeout);
    if (connection_ == nullptr) {
        const exchange_result connected = co_await connect(head);
        if (connected.error != error_kind::none) {
            co_return connected;
        }
    }
    const exchange_result sent = co_await send_head(head);
    if (sent.error != error_kind::none) {
        co_return sent;
    }
    co_return co_await send_and_receive(head, body, writer);
}

awaitable<exchange_result> target_exchange::connect(const request_head& head) {
    const absl::StatusOr<tcp::endpoint> target = to_tcp_endpoint(connections_.target());
    if (!target.ok()) {
        co_return failed_exchange(error_kind::peer_unreachable, target.status().ToString());
    }
    connection_ = std::make_unique<target_connection>(connections_.executor());
    const auto remaining = head.deadline - clock_.now();
    const bool deadline_is_shorter = remaining <= options_.connect_timeout;
    deadline_.arm(std::min<std::chrono::nanoseconds>(remaining, options_.connect_timeout));
    auto [error] = co_await connection_->socket.async_connect(*target, tuple_awaitable);
    deadline_.disarm();
    if (deadline_.expired()) {
        co_return failed_exchange(
            deadline_is_shorter ? error_kind::deadline_expired : error_kind::peer_unreachable,
            "the target did not accept the connection before the timeout");
    }
    if (error == net::error::operation_aborted) {
        co_return make_cancelled_result();
    }
    if (error) {
        co_return failed_exchange(
            error_kind::peer_unreachable,
            "cannot connect to " + to_string(connections_.target()) + ": " + error.message());
    }
    connection_->socket.set_option(tcp::no_delay(true), error);
    co_return exchange_result{};
}

awaitable<exchange_result> target_exchange::send_head(const request_head& head) {
    const auto remaining = head.deadline - clock_.now();
    if (remaining <= std::chrono::nanoseconds::zero()) {
        connections_.put_idle(std::move(connection_));
        co_return failed_exchange(error_kind::deadline_expired,
                                  "the deadline passed before the request was sent");
    }
    const std::string text = format_target_request(head, connections_.target(), remaining, options_.dialect);
    deadline_.arm(remaining);
    if (before_first_byte_ && !before_first_byte_()) {
        deadline_.disarm();
        connections_.put_idle(std::move(connection_));
        co_return failed_exchange(error_kind::slot_moving,
                                  "the check before the first byte rejected the request");
    }
    bytes_sent_ = true;  // From here on, a cancelled write may have sent a part of the request.
    auto [error, size] = co_await net::async_write(connection_->socket, net::buffer(text), tuple_awaitable);
    bytes_sent_ = size > 0;
    if (error && !bytes_sent_) {
        if (error == net::error::operation_aborted && !deadline_.expired()) {
            co_return make_cancelled_result();
        }
        if (deadline_.expired()) {
            co_return failed_exchange(error_kind::deadline_expired, "no byte was sent before the deadline");
        }
        co_return failed_exchange(error_kind::peer_unreachable, "no byte was sent: " + error.message());
    }
    if (error && error != net::error::connection_reset && error != net::error::broken_pipe) {
        set_failure_before_head(error);
        co_return result_;
    }
    write_failed_ = error.failed();
    co_return exchange_result{};  // After a reset, the answer of the target may still be readable.
}

awaitable<exchange_result> target_exchange::send_and_receive(const request_head& head, body_reader& body,
                                                             response_writer& writer) {
    using namespace net::experimental::awaitable_operators;
    request_sent_ = !head.has_body;
    if (head.has_body) {
        co_await (send_body(head, body) || receive(head, writer));
        if (body_failure_.has_value()) {
            result_ = *body_failure_;
        }
    } else {
        co_await receive(head, writer);
    }
    if (result_.error == error_kind::none) {
        return_connection();
    }
    co_return result_;
}

awaitable<void> target_exchange::send_body(const request_head& head, body_reader& body) {
    std::vector<std::byte> piece(piece_size);
    std::uint64_t body_bytes = 0;
    bool connected = true;
    while (connected) {
        const absl::StatusOr<std::size_t> size = co_await body.read_some(piece);
        if (!size.ok()) {
            set_body_failure(size.status());
            co_return;
        }
        body_bytes += *size;
        if (head.content_length.has_value() &&
            (body_bytes > *head.content_length || (*size == 0 && body_bytes < *head.content_length))) {
            set_body_failure(absl::InvalidArgumentError("the body does not match its Content-Length"));
            co_return;
        }
        connected = co_await send_piece(std::span(piece).first(*size), !head.content_length.has_value());
        if (*size == 0) {
            request_sent_ = connected;
            break;
        }
    }
    // Returning would end the exchange. It must end with the answer, which may arrive even after a failed
    // write.
    net::steady_timer never_expires(connections_.executor(), net::steady_timer::time_point::max());
    co_await never_expires.async_wait(tuple_awaitable);
}

awaitable<bool> target_exchange::send_piece(std::span<const std::byte> data, bool chunked) {
    const net::const_buffer piece(data.data(), data.size());
    tcp::socket& socket = connection_->socket;
    if (data.empty() && !chunked) {
        co_return true;
    }
    error_code failure;
    if (data.empty()) {
        auto [error, size] = co_await net::async_write(socket, http::make_chunk_last(), tuple_awaitable);
        failure = error;
    } else if (chunked) {
        auto [error, size] = co_await net::async_write(socket, http::make_chunk(piece), tuple_awaitable);
        failure = error;
    } else {
        auto [error, size] = co_await net::async_write(socket, piece, tuple_awaitable);
        failure = error;
    }
    write_failed_ = write_failed_ || failure.failed();
    co_return !failure;
}

awaitable<void> target_exchange::receive(const request_head& head, response_writer& writer) {
    if (!co_await receive_head(head)) {
        co_return;
    }
    head_written_ = true;
    const absl::Status status = co_await writer.write_head(make_response_head());
    if (!status.ok()) {
        set_failure_after_head(net::error::operation_aborted, writer);
        co_return;
    }
    co_await receive_body(writer);
}

awaitable<bool> target_exchange::receive_head(const request_head& head) {
    for (int interim = 0; interim < max_interim_answers; ++interim) {
        if (!co_await parse_head(head)) {
            co_return false;
        }
        const unsigned status = parser_->get().result_int();
        if (status >= 200 && is_answer_to(head)) {
            co_return check_dialect_rules(status);
        }
        if (status >= 200 && !co_await discard_stale_answer()) {
            co_return false;
        }
        if (status == 101) {
            break;  // The request did not ask for an upgrade.
        }
    }
    set_malformed_head("a status 101 or too many interim answers");
    co_return false;
}

awaitable<bool> target_exchange::parse_head(const request_head& head) {
    const answer_head_failure failure =
        co_await read_answer_head(connection_->socket, connection_->buffer, options_.max_header_bytes);
    if (failure.error) {
        set_failure_before_head(failure.error);
        co_return false;
    }
    if (!failure.malformed.empty()) {
        set_malformed_head(failure.malformed);
        co_return false;
    }
    parser_.emplace();
    parser_->header_limit(options_.max_header_bytes);
    parser_->body_limit(boost::none);
    parser_->skip(head.method == "HEAD");
    auto [error, size] =
        co_await http::async_read_header(connection_->socket, connection_->buffer, *parser_, tuple_awaitable);
    if (error) {
        set_failure_before_head(error);
        co_return false;
    }
    co_return true;
}

bool target_exchange::is_answer_to(const request_head& head) const {
    const http_dialect& dialect = options_.dialect;
    return !dialect.answers_echo_request_id || parser_->get()[dialect.request_id_field] == head.request_id;
}

// A late second answer to an earlier request may arrive before the answer to this one.
awaitable<bool> target_exchange::discard_stale_answer() {
    std::vector<std::byte> scratch(parser_->is_done() ? 0 : piece_size);
    while (!parser_->is_done()) {
        auto& body = parser_->get().body();
        body.data = scratch.data();
        body.size = scratch.size();
        body.more = true;
        auto [error, size] = co_await http::async_read_some(connection_->socket, connection_->buffer,
                                                            *parser_, tuple_awaitable);
        if (error && error != http::error::need_buffer) {
            set_failure_before_head(error);
            co_return false;
        }
    }
    co_return true;
}

// Detects answers that state that the target did not run the request, and successes that the target did not
// confirm with its seal.
bool target_exchange::check_dialect_rules(unsigned status) {
    constexpr unsigned status_misdirected = 421;
    const http_dialect& dialect = options_.dialect;
    const auto& fields = parser_->get();
    if (!dialect.expected_target_field.empty() && status == status_misdirected) {
        result_ = failed_exchange(error_kind::wrong_target, "a different target answered at the address");
        return false;
    }
    if (!dialect.not_executed_field.empty() && fields.count(dialect.not_executed_field) > 0) {
        result_ = failed_exchange(error_kind::target_refused,
                                  "the target refused the request with status " + std::to_string(status));
        return false;
    }
    if (!dialect.answer_seal_field.empty() && status < 300 && fields.count(dialect.answer_seal_field) == 0) {
        result_ = failed_exchange(error_kind::answer_broken,
                                  "the successful answer lacks the seal field of the target");
        return false;
    }
    return true;
}

response_head target_exchange::make_response_head() const {
    const auto& message = parser_->get();
    response_head head;
    head.status = message.result_int();
    head.reason = message.reason();
    head.headers = end_to_end_fields(message);
    const auto length = parser_->content_length();
    if (length.has_value()) {
        head.content_length = *length;
    }
    head.has_body = !parser_->skip() && head.status != 204 && head.status != 304;
    head.target = options_.target_name;
    return head;
}

awaitable<void> target_exchange::receive_body(response_writer& writer) {
    std::vector<std::byte> piece(parser_->is_done() ? 0 : piece_size);
    while (!parser_->is_done()) {
        auto& body = parser_->get().body();
        body.data = piece.data();
        body.size = piece.size();
        body.more = true;
        auto [error, size] = co_await http::async_read_some(connection_->socket, connection_->buffer,
                                                            *parser_, tuple_awaitable);
        if (error && error != http::error::need_buffer) {
            set_failure_after_head(error, writer);
            co_return;
        }
        const std::size_t filled = piece.size() - body.size;
        if (filled > 0) {
            const absl::Status status = co_await writer.write_body(std::span(piece).first(filled));
            if (!status.ok()) {
                set_failure_after_head(net::error::operation_aborted, writer);
                co_return;
            }
        }
    }
    if (parser_->need_eof() && (!request_sent_ || write_failed_ || !connection_->ended_in_order())) {
        // The end of the connection ends an answer without a length only if the connection did not fail.
        set_failure_after_head(net::error::connection_reset, writer);
        co_return;
    }
    if (!has_valid_fields()) {
        set_failure_after_head(http::error::bad_field, writer);
        co_return;
    }
    const absl::Status status = co_await writer.finish();
    if (!status.ok()) {
        set_failure_after_head(net::error::operation_aborted, writer);
        co_return;
    }
    result_.head_written = true;
}

// The parser adds the fields of a trailer to those of the head, which were checked before.
bool target_exchange::has_valid_fields() const {
    const auto& fields = parser_->get();
    return std::all_of(fields.begin(), fields.end(), [](const auto& field) {
        const std::string_view name(field.name_string().data(), field.name_string().size());
        return is_field_name(name) && is_field_value({field.value().data(), field.value().size()});
    });
}

void target_exchange::set_failure_before_head(error_code error) {
    if (deadline_.expired()) {
        result_ =
            failed_exchange(error_kind::target_timeout, "the target did not answer before the deadline");
        return;
    }
    if (error == net::error::operation_aborted) {
        result_ = make_cancelled_result();
        return;
    }
    result_ =
        failed_exchange(error_kind::outcome_unknown, "the target sent no valid answer: " + error.message());
    result_.target_crashed = is_connection_closed(error);
}

// The target may have run the request, so the outcome is unknown.
void target_exchange::set_malformed_head(std::string_view reason) {
    result_ = failed_exchange(error_kind::outcome_unknown,
                              "the target sent a malformed answer: " + std::string(reason));
}

void target_exchange::set_failure_after_head(error_code error, response_writer& writer) {
    writer.abort();
    if (deadline_.expired()) {
        result_ =
            failed_exchange(error_kind::answer_broken, "the deadline passed before the end of the answer");
    } else if (error == net::error::operation_aborted) {
        result_ = failed_exchange(error_kind::cancelled, "the answer could not be forwarded to the caller");
    } else {
        result_ = failed_exchange(error_kind::answer_broken,
                                  "the answer ended before it was complete: " + error.message());
        result_.target_crashed = is_connection_closed(error);
    }
    result_.head_written = true;
}

void target_exchange::set_body_failure(const absl::Status& status) {
    error_kind kind = error_kind::cancelled;
    if (status.code() == absl::StatusCode::kResourceExhausted) {
        kind = error_kind::body_too_large;
    } else if (status.code() == absl::StatusCode::kInvalidArgument) {
        kind = error_kind::malformed_request;
    }
    body_failure_ = failed_exchange(kind, std::string_view(status.message().data(), status.message().size()));
    body_failure_->execution = execution_state::unknown;
}

exchange_result target_exchange::result_from_exception(const std::exception& error) const {
    // A cancellation is reported as operation_aborted, or as multiple_exceptions by two parallel coroutines.
    const auto* system = dynamic_cast<const boost::system::system_error*>(&error);
    const bool aborted = system != nullptr && system->code() == net::error::operation_aborted;
    if (aborted || dynamic_cast<const net::multiple_exceptions*>(&error) != nullptr) {
        return make_cancelled_result();
    }
    exchange_result result = failed_exchange(error_kind::internal, error.what());
    result.execution = bytes_sent_ ? execution_state::unknown : execution_state::not_run;
    return result;
}

exchange_result target_exchange::make_cancelled_result() const {
    exchange_result result = failed_exchange(error_kind::cancelled, "the exchange was cancelled");
    result.execution = bytes_sent_ ? execution_state::unknown : execution_state::not_run;
    result.head_written = head_written_;
    return result;
}

// Keep-Alive: timeout=N is the time in seconds after which the target closes the idle connection.
void target_exchange::apply_keep_alive_timeout() {
    constexpr std::string_view name = "timeout=";
    // Reusing the connection in the last part of that time would race with the close by the target.
    constexpr int percent_used = 60;
    const auto field = parser_->get()[http::field::keep_alive];
    const std::string_view text(field.data(), field.size());
    const std::size_t timeout_position = text.find(name);
    if (timeout_position == std::string_view::npos) {
        return;
    }
    std::uint32_t seconds = 0;
    const char* first = text.data() + timeout_position + name.size();
    const auto [end, error] = std::from_chars(first, text.data() + text.size(), seconds);
    if (error == std::errc{} && end != first) {
        connection_->target_idle_timeout =
            std::chrono::milliseconds(std::uint64_t{seconds} * 10 * percent_used);
    }
}

void target_exchange::return_connection() {
    deadline_.disarm();
    const bool reusable = request_sent_ && !write_failed_ && !deadline_.expired() && parser_->keep_alive() &&
                          connection_->buffer.size() == 0 && connection_->socket.is_open();
    if (reusable) {
        apply_keep_alive_timeout();
        connections_.put_idle(std::move(connection_));
    }
}

}  // namespace teaselpitch
