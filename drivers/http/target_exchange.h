#pragma once

#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.h"
#include "drivers/http/asio_types.h"
#include "drivers/http/io_deadline.h"
#include "drivers/http/target_client.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// One connection to a target.
struct target_connection {
    explicit target_connection(const net::any_io_executor& executor);

    /// True when nothing has arrived and the target has not closed: only then it may be reused.
    [[nodiscard]] bool quiet();

    tcp::socket socket;
    beast::flat_buffer buffer;
    steady_time idle_since;
    /// How long the target keeps the idle connection, as far as it said so.
    std::chrono::milliseconds idle_limit = std::chrono::milliseconds::max();
};

/// Where an exchange takes its connection from and where it leaves it.
class target_connections {
public:
    virtual ~target_connections() = default;
    virtual net::any_io_executor executor() = 0;
    virtual const endpoint& target() = 0;
    /// A quiet connection that has not been idle for longer, or null.
    virtual std::unique_ptr<target_connection> take_idle(std::chrono::milliseconds longest_idle) = 0;
    virtual void keep(std::unique_ptr<target_connection> connection) = 0;

protected:
    target_connections() = default;
    target_connections(const target_connections&) = default;
    target_connections& operator=(const target_connections&) = default;
};

/// One request to a target and its answer. The connection is kept only after a whole, clean exchange.
class target_exchange {
public:
    target_exchange(target_connections& connections, const time_source& clock,
                    const target_client_options& options, std::function<bool()> before_first_byte);

    awaitable<exchange_result> run(const request_head& head, body_reader& body, response_writer& writer);

private:
    using answer_parser = http::response_parser<http::buffer_body>;

    awaitable<exchange_result> attempt(const request_head& head, body_reader& body, response_writer& writer);
    awaitable<exchange_result> connect(const request_head& head);
    awaitable<exchange_result> send_head(const request_head& head);
    awaitable<exchange_result> send_and_receive(const request_head& head, body_reader& body,
                                                response_writer& writer);
    awaitable<void> send_body(const request_head& head, body_reader& body);
    awaitable<bool> send_piece(std::span<const std::byte> data, bool chunked);
    awaitable<void> receive(const request_head& head, response_writer& writer);
    awaitable<bool> receive_head(const request_head& head);
    awaitable<void> receive_body(response_writer& writer);
    [[nodiscard]] bool answers_request(const request_head& head) const;
    awaitable<bool> skip_old_answer();
    bool check_head();
    bool check_refusal(unsigned status);
    void note_idle_limit();
    [[nodiscard]] response_head make_response_head() const;
    void fail_without_head(error_code error);
    void fail_after_head(error_code error, response_writer& writer);
    void fail_body(const absl::Status& status);
    [[nodiscard]] exchange_result after_exception(const std::exception& error) const;
    [[nodiscard]] exchange_result cancelled() const;
    void release();

    target_connections& connections_;
    const time_source& clock_;
    const target_client_options& options_;
    std::function<bool()> before_first_byte_;
    std::unique_ptr<target_connection> connection_;
    io_deadline deadline_;
    std::optional<answer_parser> parser_;
    exchange_result result_;
    std::optional<exchange_result> body_failure_;  // Reading the request body failed; overrides result_.
    bool bytes_sent_ = false;                      // The target may have seen part of the request.
    bool request_sent_ = false;                    // The whole request was written.
    bool head_written_ = false;
};

}  // namespace teaselpitch
