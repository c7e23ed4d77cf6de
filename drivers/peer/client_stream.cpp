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

constexpr std::size_t copy_bytes = 32'768;

h2_fields request_fields(const request_head& head, steady_time now) {
    return {{":method", "POST"},
            {":scheme", "http"},
            {":authority", "peer"},
            {":path", "/exchange"},
            {std::string(request_field), encode_request(head, now)}};
}

}  // namespace

client_stream::client_stream(std::shared_ptr<h2_session> session, const h2_fields& head, bool has_body,
                             std::chrono::nanoseconds timeout)
    : session_(std::move(session)), stream_(session_->open(head, has_body)), timer_(session_->executor()) {
    timer_.expires_after(timeout);
    timer_.async_wait([stream = std::weak_ptr(stream_)](const boost::system::error_code& error) {
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

awaitable<absl::Status> client_stream::wait_head() {
    while (!stream_->head_received && !stream_->over()) {
        co_await stream_->changed.wait();
    }
    co_return stream_->head_received ? absl::OkStatus()
                                     : absl::AbortedError("the stream ended without an answer");
}

bool client_stream::not_run() const {
    return !stream_->head_sent ||
           (stream_->closed && !stream_->connection_lost && stream_->close_code == NGHTTP2_REFUSED_STREAM);
}

client_exchange::client_exchange(std::shared_ptr<h2_session> session, const request_head& head,
                                 body_reader& body, response_writer& writer, const time_source& clock,
                                 std::chrono::nanoseconds grace)
    : body_(body),
      writer_(writer),
      has_body_(head.has_body),
      stream_(std::move(session), request_fields(head, clock.now()), head.has_body,
              head.deadline - clock.now() + grace) {}

awaitable<exchange_result> client_exchange::run() {
    std::exception_ptr failure;
    try {
        co_return with_head(co_await run_stream());
    } catch (const std::exception&) {
        failure = std::current_exception();
    }
    // Cancellation reaches this coroutine as an exception; anything else that throws ends the same way.
    co_return with_head(cancelled("the exchange was cancelled"));
}

awaitable<exchange_result> client_exchange::run_stream() {
    if (!has_body_) {
        co_return co_await read_answer();
    }
    using namespace asio::experimental::awaitable_operators;
    // Both end the exchange when they complete; send_body completes only when the body cannot be sent.
    std::variant<exchange_result, exchange_result> first = co_await (read_answer() || send_body());
    co_return first.index() == 0 ? std::get<0>(std::move(first)) : std::get<1>(std::move(first));
}

awaitable<exchange_result> client_exchange::read_answer() {
    if (!(co_await stream_.wait_head()).ok()) {
        co_return broken();
    }
    const h2_fields& fields = stream_.get()->head;
    const auto refusal = find_field(fields, result_field);
    if (refusal.has_value()) {
        absl::StatusOr<exchange_result> result = decode_result(*refusal);
        co_return result.ok() ? *std::move(result) : broken();
    }
    absl::StatusOr<response_head> head = decode_response(find_field(fields, response_field).value_or(""));
    if (!head.ok() || !find_field(fields, response_field).has_value()) {
        co_return failed_exchange(error_kind::outcome_unknown, "the peer answered without a head");
    }
    head_written_ = true;
    if (!(co_await writer_.write_head(*head)).ok()) {
        co_return cancelled("the caller went away");
    }
    co_return co_await read_body();
}

awaitable<exchange_result> client_exchange::read_body() {
    std::vector<std::byte> buffer(copy_bytes);
    while (true) {
        const absl::StatusOr<std::size_t> count = co_await stream_.session().receive(stream_.get(), buffer);
        if (!count.ok()) {
            co_return broken();
        }
        if (*count == 0) {
            break;
        }
        if (!(co_await writer_.write_body(std::span(buffer).first(*count))).ok()) {
            co_return cancelled("the caller went away");
        }
    }
    exchange_result result = end_of_answer();
    if (result.error == error_kind::none && !(co_await writer_.finish()).ok()) {
        co_return cancelled("the caller went away");
    }
    co_return result;
}

exchange_result client_exchange::end_of_answer() {
    const auto field = find_field(stream_.get()->trailer, result_field);
    if (!field.has_value()) {
        return failed_exchange(error_kind::answer_broken, "the answer ended without a result");
    }
    absl::StatusOr<exchange_result> result = decode_result(*field);
    return result.ok() ? *std::move(result)
                       : failed_exchange(error_kind::answer_broken, message_of(result.status()));
}

awaitable<exchange_result> client_exchange::send_body() {
    std::vector<std::byte> buffer(copy_bytes);
    const std::shared_ptr<h2_stream>& stream = stream_.get();
    while ((co_await stream_.session().wait_window(stream)).ok()) {
        const absl::StatusOr<std::size_t> count = co_await body_.read_some(buffer);
        if (!count.ok()) {
            co_return cancelled("the request body ended early: " + std::string(count.status().message()));
        }
        if (*count == 0) {
            stream_.session().finish(*stream, {});
            break;
        }
        if (!(co_await stream_.session().send(stream, std::span(buffer).first(*count))).ok()) {
            break;
        }
    }
    // The answer decides how the exchange ends; this coroutine waits to be cancelled.
    async_signal never(stream_.session().executor());
    while (true) {
        co_await never.wait();
    }
}

exchange_result client_exchange::broken() {
    if (head_written_) {
        return failed_exchange(error_kind::answer_broken, "the stream ended before the answer was whole");
    }
    if (stream_.not_run()) {
        return failed_exchange(error_kind::peer_unreachable, "the peer took no part of the request");
    }
    if (stream_.get()->expired) {
        return failed_exchange(error_kind::target_timeout, "the peer did not answer within the deadline");
    }
    return failed_exchange(error_kind::outcome_unknown, "the stream ended before the answer");
}

exchange_result client_exchange::cancelled(std::string_view detail) {
    exchange_result result = failed_exchange(error_kind::cancelled, detail);
    if (!head_written_ && stream_.not_run()) {
        result.execution = execution_state::not_run;
    }
    return result;
}

exchange_result client_exchange::with_head(exchange_result result) {
    result.head_written = head_written_;
    if (head_written_ && result.error != error_kind::none) {
        writer_.abort();
    }
    return result;
}

}  // namespace teaselpitch
