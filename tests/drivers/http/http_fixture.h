#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <functional>
#include <optional>
#include <span>
#include <stdexcept>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "core/clock.h"
#include "drivers/http/asio_types.h"
#include "drivers/http/caller_server.h"
#include "drivers/http/target_client.h"
#include "servers/exchange/exchange.h"

namespace teaselpitch::testing {

/// Runs a coroutine on the context until it completes, and rethrows its exception. The time limit only stops
/// a hanging test.
inline void run_on(net::io_context& context, awaitable<void> work) {
    std::exception_ptr failure;
    bool done = false;
    net::co_spawn(context, std::move(work), [&](std::exception_ptr error) {
        failure = std::move(error);
        done = true;
        context.stop();
    });
    context.restart();
    context.run_for(std::chrono::seconds(120));
    context.restart();
    if (failure) {
        std::rethrow_exception(failure);
    }
    if (!done) {
        throw std::runtime_error("the test did not complete within 120 s");
    }
}

/// Handler that calls a function and records the request heads.
class function_handler final : public exchange_handler {
public:
    using function =
        std::function<awaitable<exchange_result>(const request_head&, body_reader&, response_writer&)>;

    explicit function_handler(function run) : run_(std::move(run)) {}

    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override {
        ++calls;
        heads.push_back(head);
        return run_(head, body, writer);
    }

    int calls = 0;
    std::vector<request_head> heads;

private:
    function run_;
};

/// Reads the whole body as text.
inline awaitable<absl::StatusOr<std::string>> read_all(body_reader& body) {
    std::string text;
    std::vector<std::byte> piece(8192);
    for (;;) {
        const absl::StatusOr<std::size_t> size = co_await body.read_some(piece);
        if (!size.ok()) {
            co_return size.status();
        }
        if (*size == 0) {
            co_return text;
        }
        text.append(reinterpret_cast<const char*>(piece.data()), *size);
    }
}

inline std::span<const std::byte> to_bytes(std::string_view text) {
    return std::as_bytes(std::span<const char>(text.data(), text.size()));
}

/// Answers with method, path and body of the request.
inline awaitable<exchange_result> echo(const request_head& head, body_reader& body, response_writer& writer) {
    const absl::StatusOr<std::string> text = co_await read_all(body);
    if (!text.ok()) {
        co_return failed_exchange(error_kind::malformed_request, std::string(text.status().message()));
    }
    const std::string answer = head.method + " " + head.path + " " + *text;
    response_head answer_head;
    answer_head.status = 200;
    answer_head.reason = "OK";
    answer_head.content_length = answer.size();
    answer_head.has_body = head.method != "HEAD";
    answer_head.target = "t1";
    (void)co_await writer.write_head(answer_head);
    if (answer_head.has_body) {
        (void)co_await writer.write_body(to_bytes(answer));
    }
    (void)co_await writer.finish();
    exchange_result result;
    result.head_written = true;
    co_return result;
}

/// Client connection on which a test sends and receives raw HTTP text.
class raw_connection {
public:
    explicit raw_connection(const net::any_io_executor& executor) : socket(executor) {}

    awaitable<void> connect(const endpoint& target) {
        co_await socket.async_connect(to_tcp_endpoint(target).value(), net::use_awaitable);
    }

    awaitable<void> send(std::string_view text) {
        co_await net::async_write(socket, net::buffer(text), net::use_awaitable);
    }

    /// Reads until the connection ends; sets reset unless it was closed properly.
    awaitable<std::string> read_to_end() {
        std::string text;
        std::string piece(65536, '\0');
        for (;;) {
            auto [error, size] = co_await socket.async_read_some(net::buffer(piece), tuple_awaitable);
            text.append(piece, 0, size);
            if (error) {
                reset = error != net::error::eof;
                co_return text;
            }
        }
    }

    /// Reads one answer with Content-Length or chunked encoding.
    awaitable<http::response<http::string_body>> read_answer() {
        http::response_parser<http::string_body> parser;
        parser.body_limit(boost::none);
        co_await http::async_read(socket, buffer, parser, net::use_awaitable);
        co_return parser.release();
    }

    tcp::socket socket;
    beast::flat_buffer buffer;
    bool reset = false;
};

/// Caller server with its own context and consecutive request ids.
struct server_fixture {
    explicit server_fixture(function_handler::function run, caller_server_options options = {})
        : handler(std::move(run)),
          server(context.get_executor(), (options.node = "n1", options), handler, clock,
                 [this] { return "r" + std::to_string(++last_request_id); }),
          address(server.start().value()) {}

    net::io_context context{1};
    system_time_source clock;
    function_handler handler;
    int last_request_id = 0;
    caller_server server;
    endpoint address;
};

}  // namespace teaselpitch::testing
