#include <sys/resource.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/drivers/http/fake_target.h"

namespace teaselpitch::testing {
namespace {

constexpr std::size_t body_size = std::size_t{100} * 1000 * 1000;
constexpr std::size_t piece_size = 50'000;
constexpr long max_growth_kib = 64 * 1024;

long peak_resident_kib() {
    rusage usage{};
    ::getrusage(RUSAGE_SELF, &usage);
    return usage.ru_maxrss;
}

/// Returns byte i of the test body.
char body_byte(std::size_t i) {
    return static_cast<char>((i * 31 + i / 251) & 0x7f);
}

std::string body_piece(std::size_t offset, std::size_t size) {
    std::string text(size, '\0');
    for (std::size_t i = 0; i < size; ++i) {
        text[i] = body_byte(offset + i);
    }
    return text;
}

/// Compares received bytes with the test body and counts them.
struct body_check {
    void append(std::span<const std::byte> data) {
        for (const std::byte value : data) {
            matches = matches && static_cast<char>(value) == body_byte(received);
            ++received;
        }
    }
    std::size_t received = 0;
    bool matches = true;
};

awaitable<exchange_result> write_large(response_writer& writer, bool sized) {
    response_head head;
    head.status = 200;
    head.reason = "OK";
    if (sized) {
        head.content_length = body_size;
    }
    (void)co_await writer.write_head(head);
    for (std::size_t sent = 0; sent < body_size; sent += piece_size) {
        const std::string piece = body_piece(sent, piece_size);
        const absl::Status status = co_await writer.write_body(to_bytes(piece));
        if (!status.ok()) {
            writer.abort();
            break;
        }
    }
    (void)co_await writer.finish();
    exchange_result result;
    result.head_written = true;
    co_return result;
}

awaitable<exchange_result> check_upload(body_reader& body, response_writer& writer) {
    body_check check;
    std::vector<std::byte> piece(piece_size);
    for (;;) {
        const absl::StatusOr<std::size_t> size = co_await body.read_some(piece);
        if (!size.ok()) {
            co_return failed_exchange(error_kind::malformed_request, "the body is incomplete");
        }
        if (*size == 0) {
            break;
        }
        check.append(std::span(piece).first(*size));
    }
    response_head head;
    head.status = 200;
    head.reason = "OK";
    const std::string answer = std::to_string(check.received) + (check.matches ? " good" : " bad");
    head.content_length = answer.size();
    (void)co_await writer.write_head(head);
    (void)co_await writer.write_body(to_bytes(answer));
    (void)co_await writer.finish();
    exchange_result result;
    result.head_written = true;
    co_return result;
}

/// Caller server that forwards to a target through a target client, all on one context.
struct proxy_chain {
    explicit proxy_chain(function_handler::function run)
        : target(std::move(run)),
          client(target.context.get_executor(), target.address, target.clock, {}),
          front(target.context.get_executor(), {}, client, target.clock, [] { return "id"; }),
          address(front.start().value()) {}

    server_fixture target;
    target_client client;
    caller_server front;
    endpoint address;
};

awaitable<void> send_large(raw_connection& caller, bool sized) {
    for (std::size_t sent = 0; sent < body_size; sent += piece_size) {
        const std::string piece = body_piece(sent, piece_size);
        if (sized) {
            co_await caller.send(piece);
        } else {
            co_await net::async_write(caller.socket, http::make_chunk(net::buffer(piece)),
                                      net::use_awaitable);
        }
    }
    if (!sized) {
        co_await net::async_write(caller.socket, http::make_chunk_last(), net::use_awaitable);
    }
}

// Guards against buffering of the whole request body, and against lost or reordered bytes.
BOOST_DATA_TEST_CASE(large_upload_is_streamed, boost::unit_test::data::make({true, false}), sized) {
    proxy_chain fixture([](const request_head&, body_reader& body, response_writer& writer) {
        return check_upload(body, writer);
    });
    const long before = peak_resident_kib();
    run_on(fixture.target.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.target.context.get_executor());
        co_await caller.connect(fixture.address);
        const std::string framing = sized ? "Content-Length: " + std::to_string(body_size)
                                          : std::string("Transfer-Encoding: chunked");
        co_await caller.send("POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n\r\n");
        co_await send_large(caller, sized);
        const auto answer = co_await caller.read_answer();
        BOOST_TEST(answer.body() == std::to_string(body_size) + " good");
    }());
    BOOST_TEST(peak_resident_kib() - before < max_growth_kib);
}

// Guards against buffering of the whole answer, and against lost or reordered bytes.
BOOST_DATA_TEST_CASE(large_answer_is_streamed, boost::unit_test::data::make({true, false}), sized) {
    proxy_chain fixture([&](const request_head&, body_reader&, response_writer& writer) {
        return write_large(writer, sized);
    });
    const long before = peak_resident_kib();
    run_on(fixture.target.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.target.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
        http::response_parser<http::buffer_body> parser;
        parser.body_limit(boost::none);
        co_await http::async_read_header(caller.socket, caller.buffer, parser, net::use_awaitable);
        body_check check;
        std::vector<std::byte> piece(piece_size);
        while (!parser.is_done()) {
            parser.get().body() = {piece.data(), piece.size(), true};
            auto [error, size] =
                co_await http::async_read_some(caller.socket, caller.buffer, parser, tuple_awaitable);
            BOOST_REQUIRE((!error || error == http::error::need_buffer));
            check.append(std::span(piece).first(piece.size() - parser.get().body().size));
        }
        BOOST_TEST(check.received == body_size);
        BOOST_TEST(check.matches);
    }());
    BOOST_TEST(peak_resident_kib() - before < max_growth_kib);
}

// Guards against a server that keeps reading from a caller although its answers or its request body are not
// read.
BOOST_AUTO_TEST_CASE(unread_body_blocks_the_caller) {
    server_fixture fixture(
        [](const request_head&, body_reader&, response_writer&) -> awaitable<exchange_result> {
            net::steady_timer timer(co_await net::this_coro::executor, std::chrono::hours(1));
            co_await timer.async_wait(net::use_awaitable);
            co_return failed_exchange(error_kind::internal, "");
        });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body_size) +
                             "\r\n\r\n");
        co_await wait_until([&] { return fixture.handler.calls == 1; });
        caller.socket.non_blocking(true);
        const std::string piece(piece_size, 'x');
        std::size_t sent = 0;
        // The kernel buffers a few megabytes; a server that buffers would read the whole body.
        for (int pause = 0; pause < 50 && sent < body_size; ++pause) {
            error_code error;
            while (!error && sent < body_size) {
                sent += caller.socket.write_some(net::buffer(piece), error);
            }
            net::steady_timer timer(fixture.context, std::chrono::milliseconds(1));
            co_await timer.async_wait(net::use_awaitable);
        }
        BOOST_TEST(sent < body_size / 2);
    }());
}

}  // namespace
}  // namespace teaselpitch::testing
