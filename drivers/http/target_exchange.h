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
#include "drivers/http/target_connection.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// One request to a target and its answer. The connection is reused only after a complete exchange without
/// errors.
class target_exchange {
public:
    target_exchange(target_connection_pool& connections, const time_source& clock,
                    const target_client_options& options, std::function<bool()> before_first_byte);

    awaitable<exchange_result> run(const request_head& head, body_reader& body, response_writer& writer);

private:
    using answer_parser = http::response_parser<http::buffer_body>;

    awaitable<exchange_result> try_exchange(const request_head& head, body_reader& body,
                                            response_writer& writer);
    awaitable<exchange_result> connect(const request_head& head);
    awaitable<exchange_result> send_head(const request_head& head);
    awaitable<exchange_result> send_and_receive(const request_head& head, body_reader& body,
                                                response_writer& writer);
    awaitable<void> send_body(const request_head& head, body_reader& body);
    awaitable<bool> send_piece(std::span<const std::byte> data, bool chunked);
    awaitable<void> receive(const request_head& head, response_writer& writer);
    awaitable<bool> receive_head(const request_head& head);
    /// Reads the head of the next answer, which may be an interim or a stale one.
    awaitable<bool> parse_head(const request_head& head);
    awaitable<void> receive_body(response_writer& writer);
    [[nodiscard]] bool is_answer_to(const request_head& head) const;
    awaitable<bool> discard_stale_answer();
    bool check_dialect_rules(unsigned status);
    void apply_keep_alive_timeout();
    [[nodiscard]] response_head make_response_head() const;
    [[nodiscard]] bool has_valid_fields() const;
    void set_failure_before_head(error_code error);
    void set_malformed_head(std::string_view reason);
    void set_failure_after_head(error_code error, response_writer& writer);
    void set_body_failure(const absl::Status& status);
    [[nodiscard]] exchange_result result_from_exception(const std::exception& error) const;
    [[nodiscard]] exchange_result make_cancelled_result() const;
    void return_connection();

    target_connection_pool& connections_;
    const time_source& clock_;
    const target_client_options& options_;
    std::function<bool()> before_first_byte_;
    std::unique_ptr<target_connection> connection_;
    io_deadline deadline_;
    std::optional<answer_parser> parser_;
    exchange_result result_;
    std::optional<exchange_result>
        body_failure_;           // Set when reading the request body failed; overrides result_.
    bool bytes_sent_ = false;    // The target may have received a part of the request.
    bool request_sent_ = false;  // The whole request has been written.
    bool write_failed_ = false;  // A write on the connection has failed.
    bool head_written_ = false;
};

}  // namespace teaselpitch
