#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "drivers/http/asio_types.h"
#include "tests/drivers/http/http_fixture.h"

namespace teaselpitch::testing {

/// Target that runs a script on each connection; the script receives the number of the connection, from 1.
class fake_target {
public:
    using script = std::function<awaitable<void>(raw_connection&, int)>;

    fake_target(net::io_context& context, script run)
        : context_(context),
          run_(std::move(run)),
          acceptor_(open_acceptor(context.get_executor(), {"127.0.0.1", 0}, false).value()),
          address{"127.0.0.1", acceptor_.local_endpoint().port()} {
        net::co_spawn(context, accept_loop(), net::detached);
    }

private:
    awaitable<void> accept_loop() {
        for (;;) {
            auto connection = std::make_shared<raw_connection>(context_.get_executor());
            co_await acceptor_.async_accept(connection->socket, net::use_awaitable);
            ++accepted;
            net::co_spawn(context_, serve(connection, accepted), net::detached);
        }
    }

    awaitable<void> serve(std::shared_ptr<raw_connection> connection, int number) {
        co_await run_(*connection, number);
        error_code ignored;
        connection->socket.close(ignored);
        ++closed;
    }

    net::io_context& context_;
    script run_;
    tcp::acceptor acceptor_;

public:
    endpoint address;
    int accepted = 0;
    int closed = 0;  ///< Number of connections whose script has ended.
};

/// Reads one complete request; throws when the connection ends before.
inline awaitable<http::request<http::string_body>> read_request(raw_connection& connection) {
    http::request_parser<http::string_body> parser;
    co_await http::async_read(connection.socket, connection.buffer, parser, net::use_awaitable);
    co_return parser.release();
}

/// Waits until the peer closes the connection.
inline awaitable<void> wait_for_close(raw_connection& connection) {
    co_await connection.read_to_end();
}

/// Polls the condition every millisecond until it is true, while other coroutines run.
inline awaitable<void> wait_until(std::function<bool()> condition) {
    net::steady_timer timer(co_await net::this_coro::executor);
    while (!condition()) {
        timer.expires_after(std::chrono::milliseconds(1));
        co_await timer.async_wait(net::use_awaitable);
    }
}

/// Request body in memory.
class text_body final : public body_reader {
public:
    explicit text_body(std::string text) : text_(std::move(text)) {}

    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override {
        const std::size_t size = std::min(buffer.size(), text_.size());
        std::copy_n(to_bytes(text_).begin(), size, buffer.begin());
        text_.erase(0, size);
        co_return size;
    }

private:
    std::string text_;
};

/// Response writer that records the head, the body and how the answer ended.
class recording_writer final : public response_writer {
public:
    awaitable<absl::Status> write_head(const response_head& written) override {
        head = written;
        co_return absl::OkStatus();
    }
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override {
        body.append(reinterpret_cast<const char*>(data.data()), data.size());
        co_return absl::OkStatus();
    }
    awaitable<absl::Status> finish() override {
        finished = true;
        co_return absl::OkStatus();
    }
    void abort() override { aborted = true; }

    std::optional<response_head> head;
    std::string body;
    bool finished = false;
    bool aborted = false;
};

/// Returns a GET request with a deadline in ten seconds.
inline request_head make_head(const time_source& clock, std::string path = "/") {
    request_head head;
    head.method = "GET";
    head.path = std::move(path);
    head.request_id = "r1";
    head.deadline = clock.now() + std::chrono::seconds(10);
    return head;
}

}  // namespace teaselpitch::testing
