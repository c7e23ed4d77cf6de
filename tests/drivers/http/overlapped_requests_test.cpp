#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "tests/drivers/http/fake_target.h"
#include "tests/drivers/http/http_fixture.h"

namespace teaselpitch::testing {
namespace {

/// Handler that blocks requests until they are released, and counts running and cancelled requests.
struct blocked_requests {
    int running = 0;
    int cancelled = 0;
    bool released = false;

    awaitable<exchange_result> run(const request_head& head, body_reader& body, response_writer& writer) {
        ++running;
        net::steady_timer timer(co_await net::this_coro::executor);
        while (!released) {
            timer.expires_after(std::chrono::milliseconds(1));
            try {
                co_await timer.async_wait(net::use_awaitable);
            } catch (const boost::system::system_error&) {
                ++cancelled;
                co_return failed_exchange(error_kind::cancelled, "");
            }
        }
        co_return co_await echo(head, body, writer);
    }
};

struct disconnect_case {
    const char* name;
    std::string requests;
    int running;
};

std::ostream& operator<<(std::ostream& out, const disconnect_case& value) {
    return out << value.name;
}

const std::vector<disconnect_case> disconnect_cases{
    {"connection that stays open", "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n", 1},
    {"connection that closes after the answer", "GET /1 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", 1},
    {"overlapping requests", "GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n", 2},
    {"request with a body", "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx", 1},
};

}  // namespace

// Guards against requests that keep running after their caller has disconnected.
BOOST_DATA_TEST_CASE(caller_disconnect_cancels_requests, boost::unit_test::data::make(disconnect_cases),
                     row) {
    const disconnect_case expected = row;
    blocked_requests requests;
    server_fixture fixture([&](const request_head& head, body_reader& body, response_writer& writer) {
        return requests.run(head, body, writer);
    });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send(expected.requests);
        co_await wait_until([&] { return requests.running == expected.running; });
        error_code ignored;
        caller.socket.close(ignored);
        co_await wait_until([&] { return requests.cancelled == expected.running; });
        BOOST_TEST(fixture.server.open_exchanges() <= static_cast<std::size_t>(expected.running));
    }());
}

// Guards against answers that are sent before those of earlier requests, and against requests that wait for
// earlier answers before they run.
BOOST_AUTO_TEST_CASE(overlapping_requests_are_answered_in_order) {
    blocked_requests requests;
    server_fixture fixture([&](const request_head& head, body_reader& body,
                               response_writer& writer) -> awaitable<exchange_result> {
        if (head.path == "/slow") {
            return requests.run(head, body, writer);
        }
        return echo(head, body, writer);
    });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\nGET /quick HTTP/1.1\r\nHost: a\r\n\r\n");
        co_await wait_until([&] { return fixture.handler.calls == 2; });
        requests.released = true;
        const auto first = co_await caller.read_answer();
        BOOST_TEST(first.body() == "GET /slow ");
        const auto second = co_await caller.read_answer();
        BOOST_TEST(second.body() == "GET /quick ");
    }());
}

// Guards against answers that are ready but lost when a stopping node is killed, because an earlier request
// of the connection is still running.
BOOST_DATA_TEST_CASE(terminated_exchanges_are_all_answered, boost::unit_test::data::make(disconnect_cases),
                     row) {
    const disconnect_case expected = row;
    blocked_requests requests;
    server_fixture fixture([&](const request_head& head, body_reader& body,
                               response_writer& writer) -> awaitable<exchange_result> {
        if (head.path == "/2") {
            return echo(head, body, writer);
        }
        return requests.run(head, body, writer);
    });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send(expected.requests);
        co_await wait_until([&] { return fixture.handler.calls == expected.running; });
        bool drained = false;
        net::co_spawn(fixture.context, fixture.server.drain(),
                      [&](const std::exception_ptr&) { drained = true; });
        fixture.server.terminate_exchanges();
        const auto first = co_await caller.read_answer();
        BOOST_TEST(first.result_int() == 504U);
        if (expected.running > 1) {
            const auto second = co_await caller.read_answer();
            BOOST_TEST(second.body() == "GET /2 ");
        }
        BOOST_TEST(co_await caller.read_to_end() == "");
        BOOST_TEST(requests.cancelled == 1);
        caller.socket.close();
        co_await wait_until([&] { return drained; });
    }());
}

// Guards against a close that discards the answer to a later request of the connection that has already run.
BOOST_AUTO_TEST_CASE(draining_server_closes_after_the_last_answer) {
    bool released = false;
    server_fixture fixture([&](const request_head& head, body_reader& body,
                               response_writer& writer) -> awaitable<exchange_result> {
        co_await wait_until([&] { return released; });
        co_return co_await echo(head, body, writer);
    });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\nGET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        raw_connection idle(fixture.context.get_executor());
        co_await idle.connect(fixture.address);
        co_await wait_until([&] { return fixture.handler.calls == 2; });
        bool drained = false;
        net::co_spawn(fixture.context, fixture.server.drain(),
                      [&](const std::exception_ptr&) { drained = true; });
        // The drain has started once it closes the idle connection.
        BOOST_TEST(co_await idle.read_to_end() == "");
        released = true;
        const auto first = co_await caller.read_answer();
        BOOST_TEST(first.body() == "GET /1 ");
        BOOST_TEST(first["Connection"] != "close");
        const auto second = co_await caller.read_answer();
        BOOST_TEST(second.body() == "GET /2 ");
        BOOST_TEST(second["Connection"] == "close");
        BOOST_TEST(co_await caller.read_to_end() == "");
        caller.socket.close();
        co_await wait_until([&] { return drained; });
    }());
}

// Guards against a streamed answer that breaks off and takes the answers of pipelined requests behind it that
// have run (review/8).
BOOST_AUTO_TEST_CASE(broken_answer_is_replaced_when_requests_behind_it_have_run) {
    int ended = 0;
    server_fixture fixture([&](const request_head& head, body_reader& body,
                               response_writer& writer) -> awaitable<exchange_result> {
        if (head.path != "/broken") {
            exchange_result result = co_await echo(head, body, writer);
            ++ended;
            co_return result;
        }
        // Nothing starts behind an answer that is being sent, so the others start first.
        co_await wait_until([&] { return fixture.handler.calls == 3; });
        response_head answer;
        answer.status = 200;
        answer.reason = "OK";
        answer.content_length = 400'000;
        (void)co_await writer.write_head(answer);
        const std::string part(200'000, 'p');
        (void)co_await writer.write_body(to_bytes(part));
        writer.abort();
        co_return failed_exchange(error_kind::answer_broken, "the target closed the connection");
    });
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send(
            "GET /broken HTTP/1.1\r\nHost: a\r\n\r\nGET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
            "GET /2 HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto first = co_await caller.read_answer();
        BOOST_TEST(first.result_int() == 502U);
        const auto second = co_await caller.read_answer();
        BOOST_TEST(second.body() == "GET /1 ");
        const auto third = co_await caller.read_answer();
        BOOST_TEST(third.body() == "GET /2 ");
        BOOST_TEST(ended == 2);
    }());
}

// Guards against a request that starts behind an answer which is too long to be held and may break off.
BOOST_AUTO_TEST_CASE(nothing_starts_behind_an_answer_that_is_streamed) {
    bool released = false;
    caller_server_options options;
    options.max_held_answer_bytes = 10;
    server_fixture fixture(
        [&](const request_head& head, body_reader& body,
            response_writer& writer) -> awaitable<exchange_result> {
            if (head.path != "/long") {
                co_return co_await echo(head, body, writer);
            }
            response_head answer;
            answer.status = 200;
            answer.reason = "OK";
            answer.content_length = 20;
            (void)co_await writer.write_head(answer);
            (void)co_await writer.write_body(to_bytes("0123456789"));
            co_await wait_until([&] { return released; });
            (void)co_await writer.write_body(to_bytes("0123456789"));
            (void)co_await writer.finish();
            exchange_result result;
            result.head_written = true;
            co_return result;
        },
        options);
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send("GET /long HTTP/1.1\r\nHost: a\r\n\r\n");
        std::string start(40, ' ');
        co_await net::async_read(caller.socket, net::buffer(start), net::use_awaitable);
        co_await caller.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        // A second connection is served meanwhile, so the first one has had its turn.
        raw_connection other(fixture.context.get_executor());
        co_await other.connect(fixture.address);
        co_await other.send("GET /other HTTP/1.1\r\nHost: a\r\n\r\n");
        (void)co_await other.read_answer();
        BOOST_TEST(fixture.handler.calls == 2);
        released = true;
        co_await wait_until([&] { return fixture.handler.calls == 3; });
    }());
}

// Guards against work for a caller that has left, when its connection runs as many requests as it may and so
// reads nothing (review/9).
BOOST_AUTO_TEST_CASE(close_is_noticed_while_all_slots_are_taken) {
    blocked_requests requests;
    caller_server_options options;
    options.max_overlapped = 2;
    server_fixture fixture([&](const request_head& head, body_reader& body,
                               response_writer& writer) { return requests.run(head, body, writer); },
                           options);
    run_on(fixture.context, [&]() -> awaitable<void> {
        std::string text;
        for (int i = 0; i < 40; ++i) {
            text += "GET /" + std::to_string(i) + " HTTP/1.1\r\nHost: a\r\n\r\n";
        }
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send(text);
        co_await wait_until([&] { return requests.running == 2; });
        error_code ignored;
        caller.socket.close(ignored);
        co_await wait_until([&] { return fixture.server.open_exchanges() == 0; });
        BOOST_TEST(requests.cancelled == 2);
        BOOST_TEST(fixture.handler.calls == 2);
    }());
}

}  // namespace teaselpitch::testing
