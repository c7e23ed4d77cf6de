#include "drivers/peer/client_stream.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <exception>
#include <utility>
#include <variant>
#include <vector>

#include "drivers/peer/head_codec.h"

namespace teaselpitch {
namespace {

namespace asio = boost::asio;

constexpr std::size_t copy_buffer_bytes = 32'768;

h2_fields make_request_fields(const request_head& head, steady_time now) {
    return {{":method", "POST"},
            {":scheme", "http"},
            {":authority", "peer"},
            {":path", "/exchange"},
            {std::string(request_field), encode_request(head, now)}};
}

}  // namespace

client_stream::client_stream(std::shared_ptr<h2_session> session, const h2_fields& head, bool has_body,
                             std::chrono::nanoseconds timeout)
    : session_(std::move(session)),
      stream_(session_->open_stream(head, has_body)),
      deadline_timer_(session_->executor()) {
    deadline_timer_.expires_after(timeout);
    deadline_timer_.async_wait([stream = std::weak_ptr(stream_)](const boost::system::error_code& error) {
        const std::shared_ptr<h2_stream> expired = stream.lock();
        if (!error && expired) {
            expired->expired = true;
            expired->changed.notify();
        }
    });
}

client_stream::~client_stream() {
    session_->reset(*stream_, NGHTTP2_CANCEL);
}

awaitable<absl::Status> client_stream::wait_for_head() {
    while (!stream_->head_received && !stream_->is_over()) {
        co_await stream_->changed.wait();
    }
    co_return stream_->head_received ? absl::OkStatus()
                                     : absl::AbortedError("the stream ended before the response head");
}

bool client_stream::not_run() const {
    return !stream_->head_sent ||
           (stream_->closed && !stream_->connection_lost && stream_->close_code == NGHTTP2_REFUSED_STREAM);
}

client_exchange::client_exchange(std::shared_ptr<h2_session> session, const request_head& head,
                                 body_reader& body, response_writer& writer, const time_source& clock,
                                 std::chrono::nanoseconds deadline_grace)
    : body_(body),
      writer_(writer),
      has_body_(head.has_body),
      stream_(std::move(session), make_request_fields(head, clock.now()), head.has_body,
              head.deadline - clock.now() + deadline_grace) {
    stream_.get()->waits_for_unresponsive_peer = head.non_idempotent;
}

awaitable<exchange_result> client_exchange::run() {
    std::exception_ptr failure;
    try {
        co_return finish_result(co_await transfer_stream());
    } catch (const std::exception&) {
        failure = std::current_exception();
    }
    // Cancellation is delivered to this coroutine as an exception. Any other exception has the same result.
    co_return finish_result(cancelled_result("the exchange was cancelled"));
}

awaitable<exchange_result> client_exchange::transfer_stream() {
    if (!has_body_) {
        co_return co_await read_answer();
    }
    using namespace asio::experimental::awaitable_operators;
    // The first one to complete ends the exchange. send_body completes only when reading the request body
    // fails.
    std::variant<exchange_result, exchange_result> first = co_await (read_answer() || send_body());
    co_return first.index() == 0 ? std::get<0>(std::move(first)) : std::get<1>(std::move(first));
}

awaitable<exchange_result> client_exchange::read_answer() {
    if (!(co_await stream_.wait_for_head()).ok()) {
        co_return stream_failure_result();
    }
    const h2_fields& fields = stream_.get()->head;
    const auto refusal = find_field(fields, result_field);
    if (refusal.has_value()) {
        absl::StatusOr<exchange_result> result = decode_result(*refusal);
        co_return result.ok() ? *std::move(result) : stream_failure_result();
    }
    absl::StatusOr<response_head> head = decode_response(find_field(fields, response_field).value_or(""));
    if (!head.ok()) {
        co_return failed_exchange(
            error_kind::outcome_unknown,
            "the peer's answer has no valid response head: " + std::string(status_message(head.status())));
    }
    head_written_ = true;
    if (!(co_await writer_.write_head(*head)).ok()) {
        co_return cancelled_result("the caller closed its connection");
    }
    co_return co_await read_body();
}

awaitable<exchange_result> client_exchange::read_body() {
    std::vector<std::byte> buffer(copy_buffer_bytes);
    while (true) {
        const absl::StatusOr<std::size_t> count = co_await stream_.session().receive(stream_.get(), buffer);
        if (!count.ok()) {
            co_return stream_failure_result();
        }
        if (*count == 0) {
            break;
        }
        if (!(co_await writer_.write_body(std::span(buffer).first(*count))).ok()) {
            co_return cancelled_result("the caller closed its connection");
        }
    }
    exchange_result result = decode_trailer_result();
    if (result.error == error_kind::none && !(co_await writer_.finish()).ok()) {
        co_return cancelled_result("the caller closed its connection");
    }
    co_return result;
}

exchange_result client_exchange::decode_trailer_result() {
    const auto field = find_field(stream_.get()->trailer, result_field);
    if (!field.has_value()) {
        return failed_exchange(error_kind::answer_broken, "the answer ended without a result trailer");
    }
    absl::StatusOr<exchange_result> result = decode_result(*field);
    return result.ok() ? *std::move(result)
                       : failed_exchange(error_kind::answer_broken, status_message(result.status()));
}

awaitable<exchange_result> client_exchange::send_body() {
    std::vector<std::byte> buffer(copy_buffer_bytes);
    const std::shared_ptr<h2_stream>& stream = stream_.get();
    while ((co_await stream_.session().wait_for_window(stream)).ok()) {
        const absl::StatusOr<std::size_t> count = co_await body_.read_some(buffer);
        if (!count.ok()) {
            co_return cancelled_result("reading the request body from the caller failed: " +
                                       std::string(count.status().message()));
        }
        if (*count == 0) {
            stream_.session().finish(*stream, {});
            break;
        }
        if (!(co_await stream_.session().send(stream, std::span(buffer).first(*count))).ok()) {
            break;
        }
    }
    // The response determines the result of the exchange, so this coroutine waits until it is cancelled.
    async_signal cancellation_only(stream_.session().executor());
    while (true) {
        co_await cancellation_only.wait();
    }
}

exchange_result client_exchange::stream_failure_result() {
    if (head_written_) {
        return failed_exchange(error_kind::answer_broken, "the stream ended before the answer was complete");
    }
    if (stream_.not_run()) {
        return failed_exchange(error_kind::peer_unreachable, "the peer did not process the request");
    }
    if (stream_.get()->expired && !stream_.session().peer_is_silent()) {
        return failed_exchange(error_kind::target_timeout, "the peer did not answer within the deadline");
    }
    return failed_exchange(error_kind::outcome_unknown, "the stream ended before the response head");
}

exchange_result client_exchange::cancelled_result(std::string_view detail) {
    exchange_result result = failed_exchange(error_kind::cancelled, detail);
    if (!head_written_ && stream_.not_run()) {
        result.execution = execution_state::not_run;
    }
    return result;
}

exchange_result client_exchange::finish_result(exchange_result result) {
    result.head_written = head_written_;
    if (head_written_ && result.error != error_kind::none) {
        writer_.abort();
    }
    return result;
}

}  // namespace teaselpitch
