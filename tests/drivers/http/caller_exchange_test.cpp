#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "tests/drivers/http/fake_target.h"

namespace teaselpitch::testing {
namespace {

/// Returns a handler that echoes the request once the flag is set.
function_handler::function echo_when_released(const bool& released) {
    return [&released](const request_head& head, body_reader& body,
                       response_writer& writer) -> awaitable<exchange_result> {
        co_await wait_until([&released] { return released; });
        co_return co_await echo(head, body, writer);
    };
}

// Guards against a drain that interrupts a running or pipelined request, leaves an idle connection open, or
// still accepts connections.
BOOST_AUTO_TEST_CASE(drain_completes_open_requests) {
    bool released = false;
    server_fixture fixture(echo_when_released(released));
    constexpr int callers = 20;
    run_on(fixture.context, [&]() -> awaitable<void> {
        std::vector<std::unique_ptr<raw_connection>> running;
        for (int i = 0; i < callers; ++i) {
            running.push_back(std::make_unique<raw_connection>(fixture.context.get_executor()));
            co_await running.back()->connect(fixture.address);
            co_await running.back()->send("GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n");
        }
        raw_connection idle(fixture.context.get_executor());
        co_await idle.connect(fixture.address);
        co_await wait_until([&] { return fixture.server.open_exchanges() == callers; });

        bool drained = false;
        net::co_spawn(fixture.context, fixture.server.drain(),
                      [&](const std::exception_ptr&) { drained = true; });
        BOOST_TEST(co_await idle.read_to_end() == "");
        BOOST_TEST(!idle.reset);
        BOOST_TEST(!drained);
        raw_connection late_caller(fixture.context.get_executor());
        auto [refused] = co_await late_caller.socket.async_connect(to_tcp_endpoint(fixture.address).value(),
                                                                   tuple_awaitable);
        BOOST_TEST(refused.failed());

        released = true;
        for (int i = 0; i < callers; ++i) {
            const auto answer = co_await running[i]->read_answer();
            BOOST_TEST(answer.body() == "GET /" + std::to_string(i) + " ");
            BOOST_TEST(answer["Connection"] == "close");
            BOOST_TEST(co_await running[i]->read_to_end() == "");
            BOOST_TEST(!running[i]->reset);
            running[i]->socket.close();
        }
        co_await wait_until([&] { return drained; });
    }());
    BOOST_TEST(fixture.server.open_exchanges() == 0U);
}

// Guards against a drain that closes an idle connection while the caller's next request is in transit.
BOOST_AUTO_TEST_CASE(draining_server_accepts_request_on_idle_connection) {
    server_fixture fixture(echo);
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        co_await caller.read_answer();
        net::co_spawn(fixture.context, fixture.server.drain(), net::detached);
        co_await net::post(net::use_awaitable);
        co_await caller.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto answer = co_await caller.read_answer();
        BOOST_TEST(answer.body() == "GET /2 ");
        BOOST_TEST(answer["Connection"] == "close");
    }());
}

struct abort_case {
    const char* version;
    std::optional<std::uint64_t> length;
    std::string written;
};

std::ostream& operator<<(std::ostream& out, const abort_case& value) {
    return out << value.version << ' ' << value.length.value_or(0) << ' ' << value.written.size();
}

const std::vector<abort_case> abort_cases{
    {"1.1", 10, "abc"},
    {"1.1", 3, "abc"},
    {"1.1", 3, ""},
    {"1.1", 0, ""},
    {"1.1", std::nullopt, "abc"},
    {"1.1", std::nullopt, ""},
    {"1.0", 3, "abc"},
    {"1.0", 0, ""},
    {"1.0", std::nullopt, "abc"},
    {"1.1", 100'000, std::string(100'000, 'x')},
    {"1.0", 100'000, std::string(100'000, 'x')},
};

// Guards against an aborted answer that the caller accepts as complete, even when the writer had received all
// its bytes.
BOOST_DATA_TEST_CASE(aborted_answer_is_never_complete, boost::unit_test::data::make(abort_cases), row) {
    const abort_case expected = row;
    server_fixture fixture(
        [&](const request_head&, body_reader&, response_writer& writer) -> awaitable<exchange_result> {
            response_head head;
            head.status = 200;
            head.reason = "OK";
            head.content_length = expected.length;
            (void)co_await writer.write_head(head);
            (void)co_await writer.write_body(to_bytes(expected.written));
            writer.abort();
            exchange_result result = failed_exchange(error_kind::answer_broken, "");
            result.head_written = true;
            co_return result;
        });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send("GET / HTTP/" + std::string(expected.version) + "\r\nHost: a\r\n\r\n");
        http::response_parser<http::string_body> parser;
        auto [error, size] = co_await http::async_read(caller.socket, caller.buffer, parser, tuple_awaitable);
        BOOST_TEST(error.failed());
    }());
}

// Guards against a handler that cannot reject a request before its body is sent, and against 100 Continue for
// a body that is not read.
BOOST_AUTO_TEST_CASE(continue_is_sent_only_when_the_body_is_read) {
    const std::string request =
        "POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 3\r\n\r\n";
    server_fixture reading_server(echo);
    run_on(reading_server.context, [&]() -> awaitable<void> {
        raw_connection caller(reading_server.context.get_executor());
        co_await caller.connect(reading_server.address);
        co_await caller.send(request);
        const auto interim = co_await caller.read_answer();
        BOOST_TEST(interim.result_int() == 100U);
        co_await caller.send("abc");
        const auto answer = co_await caller.read_answer();
        BOOST_TEST(answer.body() == "POST / abc");
    }());
    BOOST_TEST(!find_header(reading_server.handler.heads.at(0).headers, "Expect").has_value());

    server_fixture rejecting_server(
        [](const request_head&, body_reader&, response_writer&) -> awaitable<exchange_result> {
            co_return failed_exchange(error_kind::overloaded, "");
        });
    run_on(rejecting_server.context, [&]() -> awaitable<void> {
        raw_connection caller(rejecting_server.context.get_executor());
        co_await caller.connect(rejecting_server.address);
        co_await caller.send(request);
        const auto answer = co_await caller.read_answer();
        BOOST_TEST(answer.result_int() == 503U);
        BOOST_TEST(answer["Connection"] == "close");
        BOOST_TEST(co_await caller.read_to_end() == "");
    }());
}

struct unread_body_case {
    std::size_t body;
    bool reusable;
};

std::ostream& operator<<(std::ostream& out, const unread_body_case& value) {
    return out << value.body;
}

const std::vector<unread_body_case> unread_body_cases{{10, true}, {60'000, true}, {200'000, false}};

// Guards against request smuggling: body bytes that the handler did not read are parsed as the next request.
BOOST_DATA_TEST_CASE(unread_body_is_not_parsed_as_request, boost::unit_test::data::make(unread_body_cases),
                     row) {
    server_fixture fixture(
        [](const request_head&, body_reader&, response_writer&) -> awaitable<exchange_result> {
            co_return failed_exchange(error_kind::overloaded, "");
        });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        std::string body;
        while (body.size() < row.body) {
            body += "GET /smuggled HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        body.resize(row.body);
        co_await caller.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(row.body) +
                             "\r\n\r\n" + body + "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto first = co_await caller.read_answer();
        BOOST_TEST((first["Connection"] == "close") == !row.reusable);
        if (row.reusable) {
            const auto second = co_await caller.read_answer();
            BOOST_TEST(second.result_int() == 503U);
        }
    }());
    BOOST_REQUIRE(fixture.handler.calls == (row.reusable ? 2 : 1));
    BOOST_TEST(fixture.handler.heads.back().path == (row.reusable ? "/2" : "/1"));
}

// Guards against a truncated large body that the handler receives as complete.
BOOST_DATA_TEST_CASE(truncated_body_is_never_complete, boost::unit_test::data::make({true, false}), sized) {
    bool complete = false;
    bool started = false;
    server_fixture fixture(
        [&](const request_head&, body_reader& body, response_writer&) -> awaitable<exchange_result> {
            started = true;
            const absl::StatusOr<std::string> text = co_await read_all(body);
            complete = text.ok();
            co_return failed_exchange(error_kind::malformed_request, "the body is incomplete");
        });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        const std::string framing =
            sized ? "Content-Length: 100000\r\n\r\n" : "Transfer-Encoding: chunked\r\n\r\n186a0\r\n";
        co_await caller.send("POST / HTTP/1.1\r\nHost: a\r\n" + framing + std::string(50'000, 'x'));
        error_code ignored;
        caller.socket.shutdown(tcp::socket::shutdown_send, ignored);
        const std::string answer = co_await caller.read_to_end();
        BOOST_TEST(answer.starts_with("HTTP/1.1 400 "));
        BOOST_TEST(answer.find("Connection: close\r\n") != std::string::npos);
    }());
    BOOST_TEST(started);
    BOOST_TEST(!complete);
}

// Guards against answers that must not have a body but contain one, and against answers without framing on a
// connection that stays open.
BOOST_AUTO_TEST_CASE(answers_without_a_body_keep_the_connection) {
    server_fixture fixture([](const request_head& head, body_reader& body,
                              response_writer& writer) -> awaitable<exchange_result> {
        if (head.path == "/") {
            co_return co_await echo(head, body, writer);
        }
        response_head answer;
        answer.status = head.path == "/204" ? 204 : 304;
        answer.reason = "none";
        answer.has_body = false;
        (void)co_await writer.write_head(answer);
        (void)co_await writer.finish();
        exchange_result result;
        result.head_written = true;
        co_return result;
    });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        for (const std::string path : {"/204", "/304"}) {
            co_await caller.send("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
            const auto answer = co_await caller.read_answer();
            BOOST_TEST(answer.result_int() == std::stoul(path.substr(1)));
        }
        co_await caller.send(
            "HEAD / HTTP/1.1\r\nHost: a\r\n\r\nGET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        const std::string rest = co_await caller.read_to_end();
        BOOST_TEST(rest.find("HTTP/1.1 200 OK\r\nContent-Length: 7\r\n") == 0U);
        BOOST_TEST(rest.find("HEAD / ") == std::string::npos);
        BOOST_TEST(rest.ends_with("\r\n\r\nGET / "));
    }());
}

// Guards against connections that stay open forever without a complete request.
BOOST_AUTO_TEST_CASE(slow_and_idle_callers_are_closed) {
    caller_server_options options;
    options.limits.header_timeout = std::chrono::milliseconds(30);
    options.limits.idle_timeout = std::chrono::milliseconds(30);
    options.body_timeout = std::chrono::milliseconds(30);
    server_fixture fixture(echo, options);
    run_on(fixture.context, [&]() -> awaitable<void> {
        for (const std::string start :
             {"", "GET / HTTP/1.1\r\n", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\na"}) {
            raw_connection caller(fixture.context.get_executor());
            co_await caller.connect(fixture.address);
            co_await caller.send(start);
            const std::string answer = co_await caller.read_to_end();
            BOOST_TEST(answer.starts_with("HTTP/1.1 400 ") == !start.empty());
        }
    }());
    BOOST_TEST(fixture.handler.calls == 0);
}

}  // namespace
}  // namespace teaselpitch::testing
