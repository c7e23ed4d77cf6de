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

/// A stream that is reset when its owner goes away before the stream is over, or when its time is up.
class client_stream {
public:
    client_stream(std::shared_ptr<h2_session> session, const h2_fields& head, bool has_body,
                  std::chrono::nanoseconds timeout);
    client_stream(const client_stream&) = delete;
    client_stream& operator=(const client_stream&) = delete;
    ~client_stream();

    /// Waits for the answer's head; an error when the stream is over before.
    awaitable<absl::Status> wait_head();

    [[nodiscard]] h2_session& session() const { return *session_; }
    [[nodiscard]] const std::shared_ptr<h2_stream>& get() const { return stream_; }

    /// The peer certainly did not act on the request head.
    [[nodiscard]] bool not_run() const;

private:
    std::shared_ptr<h2_session> session_;
    std::shared_ptr<h2_stream> stream_;
    boost::asio::steady_timer timer_;
};

/// One exchange over one stream.
class client_exchange {
public:
    client_exchange(std::shared_ptr<h2_session> session, const request_head& head, body_reader& body,
                    response_writer& writer, const time_source& clock, std::chrono::nanoseconds grace);

    awaitable<exchange_result> run();

private:
    awaitable<exchange_result> run_stream();
    awaitable<exchange_result> read_answer();
    awaitable<exchange_result> read_body();
    awaitable<exchange_result> send_body();
    exchange_result broken();
    exchange_result cancelled(std::string_view detail);
    exchange_result end_of_answer();
    exchange_result with_head(exchange_result result);

    body_reader& body_;
    response_writer& writer_;
    bool has_body_;
    bool head_written_ = false;
    client_stream stream_;
};

}  // namespace teaselpitch
