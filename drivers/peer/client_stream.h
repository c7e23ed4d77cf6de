#pragma once

#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <string>

#include "drivers/peer/h2_session.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Client side of an HTTP/2 stream. The destructor resets the stream unless it is closed, and the stream
/// expires after the timeout.
class client_stream {
public:
    client_stream(std::shared_ptr<h2_session> session, const h2_fields& head, bool has_body,
                  std::chrono::nanoseconds timeout);
    client_stream(const client_stream&) = delete;
    client_stream& operator=(const client_stream&) = delete;
    ~client_stream();

    /// Waits for the response head. ABORTED: the stream ended first.
    awaitable<absl::Status> wait_for_head();

    [[nodiscard]] h2_session& session() const { return *session_; }
    [[nodiscard]] const std::shared_ptr<h2_stream>& get() const { return stream_; }

    /// True when the peer cannot have processed the request: its head was never sent, or the peer refused the
    /// stream.
    [[nodiscard]] bool not_run() const;

private:
    std::shared_ptr<h2_session> session_;
    std::shared_ptr<h2_stream> stream_;
    boost::asio::steady_timer deadline_timer_;
};

/// Runs one exchange over one stream. The stream expires `deadline_grace` after the deadline of the exchange.
class client_exchange {
public:
    client_exchange(std::shared_ptr<h2_session> session, const request_head& head, body_reader& body,
                    response_writer& writer, const time_source& clock,
                    std::chrono::nanoseconds deadline_grace);

    awaitable<exchange_result> run();

private:
    awaitable<exchange_result> transfer_stream();
    awaitable<exchange_result> read_answer();
    awaitable<exchange_result> read_body();
    awaitable<exchange_result> send_body();
    exchange_result stream_failure_result();
    exchange_result cancelled_result(std::string_view detail);
    exchange_result decode_trailer_result();
    exchange_result finish_result(exchange_result result);

    body_reader& body_;
    response_writer& writer_;
    bool has_body_;
    bool head_written_ = false;
    client_stream stream_;
};

}  // namespace teaselpitch
