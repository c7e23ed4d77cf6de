#pragma once

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>
#include <exception>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "drivers/peer/peer_pool.h"
#include "drivers/peer/peer_server.h"

namespace teaselpitch {

/// Name of the error kind, so that a failed assertion is readable.
inline std::string error_name(const exchange_result& result) {
    return std::string(get_error_answer(result.error).name);
}

/// Byte of a generated body at this position.
inline std::byte pattern_at(std::size_t position) {
    return static_cast<std::byte>((position * 31 + position / 257) & 0xff);
}

/// Generated body that counts its reads and can fail at a position.
class pattern_body final : public body_reader {
public:
    explicit pattern_body(std::size_t size) : size_(size) {}

    awaitable<absl::StatusOr<std::size_t>> read_some(std::span<std::byte> buffer) override {
        ++reads;
        if (fail_at.has_value() && position >= *fail_at) {
            co_return absl::DataLossError("the caller closed its connection");
        }
        const std::size_t count = std::min(buffer.size(), size_ - position);
        for (std::size_t i = 0; i < count; ++i) {
            buffer[i] = pattern_at(position + i);
        }
        position += count;
        co_return count;
    }

    std::size_t reads = 0;
    std::size_t position = 0;
    std::optional<std::size_t> fail_at;

private:
    std::size_t size_;
};

/// Compares the body with the generated one and records how the answer ended.
class recording_writer final : public response_writer {
public:
    awaitable<absl::Status> write_head(const response_head& value) override {
        head = value;
        co_return absl::OkStatus();
    }
    awaitable<absl::Status> write_body(std::span<const std::byte> data) override {
        if (before_write) {
            co_await before_write();
        }
        for (const std::byte value : data) {
            correct = correct && value == pattern_at(received);
            ++received;
        }
        co_return refuse_body ? absl::CancelledError("the caller closed its connection") : absl::OkStatus();
    }
    awaitable<absl::Status> finish() override {
        finished = true;
        co_return absl::OkStatus();
    }
    void abort() override { aborted = true; }

    [[nodiscard]] bool untouched() const { return !head.has_value() && !finished && !aborted; }

    std::optional<response_head> head;
    std::size_t received = 0;
    bool correct = true;
    bool finished = false;
    bool aborted = false;
    bool refuse_body = false;
    std::function<awaitable<void>()> before_write;
};

/// Gate that runs a function of the test.
class scripted_gate final : public exchange_handler {
public:
    awaitable<exchange_result> exchange(const request_head& head, body_reader& body,
                                        response_writer& writer) override {
        ++calls;
        return script(head, body, writer);
    }

    std::size_t calls = 0;
    std::function<awaitable<exchange_result>(const request_head&, body_reader&, response_writer&)> script;
};

/// One server and one pool on one executor, connected over the loopback interface.
struct peer_fixture {
    boost::asio::io_context context{1};
    system_time_source clock;
    scripted_gate gate;
    peer_server_options server_options;
    peer_pool_options pool_options;
    std::unique_ptr<peer_server> server;
    std::unique_ptr<peer_pool> pool;
    endpoint server_endpoint;

    void start() {
        const auto control = [](std::string_view method, std::string_view payload) {
            return answer_control(std::string(method), std::string(payload));
        };
        server = std::make_unique<peer_server>(context.get_executor(), server_options, gate, control, clock);
        const auto bound = server->start();
        BOOST_REQUIRE(bound.ok());
        server_endpoint = *bound;
        pool = std::make_unique<peer_pool>(context.get_executor(), clock, pool_options);
    }

    static awaitable<absl::StatusOr<std::string>> answer_control(std::string method, std::string payload) {
        if (method == "fail") {
            co_return absl::NotFoundError("no such method");
        }
        co_return method + ":" + payload;
    }

    /// Runs the executor until the coroutine completes; fails the test after 20 s.
    void run(std::function<awaitable<void>()> body) {
        std::exception_ptr failure;
        bool done = false;
        boost::asio::co_spawn(context, std::move(body), [&](std::exception_ptr thrown) {
            failure = std::move(thrown);
            done = true;
        });
        run_until([&] { return done; });
        BOOST_REQUIRE(done);
        if (failure) {
            std::rethrow_exception(failure);
        }
    }

    void run_until(const std::function<bool()>& condition) {
        const auto limit = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        context.restart();
        while (!condition() && std::chrono::steady_clock::now() < limit) {
            context.run_one_for(std::chrono::milliseconds(50));
        }
    }

    [[nodiscard]] request_head request(bool has_body = false) const {
        request_head head;
        head.method = has_body ? "POST" : "GET";
        head.path = "/pieces?id=1";
        head.host = "vitrine";
        head.headers = {{"Accept", "text/plain"}, {"X-Binary", std::string("\x01\xff", 2)}};
        head.has_body = has_body;
        head.request_id = "r-1";
        head.service = "vitrine";
        head.account = "acme";
        head.idempotency_key = std::string("k\0y", 3);
        head.first_send = true;
        head.non_idempotent = has_body;
        head.deadline = clock.now() + std::chrono::seconds(15);
        head.target = {"t1", 77};
        head.detours = 1;
        return head;
    }

    awaitable<void> sleep(std::chrono::milliseconds duration) {
        boost::asio::steady_timer timer(context, duration);
        co_await timer.async_wait(boost::asio::use_awaitable);
    }

    ~peer_fixture() {
        if (pool) {
            pool->close();
        }
        if (server) {
            server->stop();
        }
        context.restart();
        context.run_for(std::chrono::seconds(2));
    }
};

/// Reads a body to its end and compares its bytes with the generated ones. Returns its size, -1 when reading
/// fails or -2 when a byte differs.
inline awaitable<std::size_t> read_whole_body(body_reader& body) {
    std::vector<std::byte> buffer(10'000);
    std::size_t size = 0;
    while (true) {
        const auto count = co_await body.read_some(buffer);
        if (!count.ok() || *count == 0) {
            co_return count.ok() ? size : std::size_t{0} - 1;
        }
        for (std::size_t i = 0; i < *count; ++i) {
            if (buffer[i] != pattern_at(size + i)) {
                co_return std::size_t{0} - 2;
            }
        }
        size += *count;
    }
}

/// Response head for a body of this size. GCC 12 destroys an aggregate temporary twice when it is an argument
/// of an awaited call, so the tests pass named variables.
inline response_head make_ok_head(std::size_t size) {
    return {200, "OK", {}, size, true, "t1"};
}

/// Writes an answer with a generated body of this size.
inline awaitable<exchange_result> write_answer(response_writer& writer, std::size_t size) {
    response_head head;
    head.status = 201;
    head.reason = "Created";
    head.headers = {{"Content-Type", "text/plain"}};
    head.content_length = size;
    head.target = "t1";
    exchange_result result;
    result.load = load_report{"t1", 4, 2, 1, 0.5, false};
    result.head_written = true;
    if (!(co_await writer.write_head(head)).ok()) {
        co_return failed_exchange(error_kind::cancelled, "the response head could not be written");
    }
    pattern_body source(size);
    std::vector<std::byte> buffer(20'000);
    while (true) {
        const auto count = co_await source.read_some(buffer);
        if (*count == 0) {
            break;
        }
        if (!(co_await writer.write_body(std::span(buffer).first(*count))).ok()) {
            writer.abort();
            co_return failed_exchange(error_kind::cancelled, "the response body could not be written");
        }
    }
    (void)co_await writer.finish();
    co_return result;
}

}  // namespace teaselpitch
