#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "tests/drivers/http/fake_target.h"

namespace teaselpitch::testing {
namespace {

const std::string complete_answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";

struct target_case {
    const char* name;
    std::string answer;  // Sent after the request, before the target closes.
    bool reset;          // The target closes with a reset.
    error_kind kind;
    execution_state execution;
    bool crashed;
    bool head_written;
};

std::ostream& operator<<(std::ostream& out, const target_case& value) {
    return out << value.name;
}

constexpr auto unknown = execution_state::unknown;
constexpr auto outcome = error_kind::outcome_unknown;
constexpr auto broken = error_kind::answer_broken;

const std::vector<target_case> target_cases{
    {"complete answer", complete_answer, false, error_kind::none, execution_state::run, false, true},
    {"interim answers", "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n" + complete_answer, false,
     error_kind::none, execution_state::run, false, true},
    {"closed immediately", "", false, outcome, unknown, true, false},
    {"reset immediately", "", true, outcome, unknown, true, false},
    {"truncated head", "HTTP/1.1 200 OK\r\nContent-Le", false, outcome, unknown, true, false},
    {"garbage", "ICY 200 OK\r\n\r\n", false, outcome, unknown, false, false},
    {"unrequested upgrade", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n", false, outcome, unknown,
     false, false},
    {"length and coding",
     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", false, outcome,
     unknown, false, false},
    {"unknown coding", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc", false, outcome, unknown,
     false, false},
    {"truncated answer with length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", false, broken,
     unknown, true, true},
    {"answer with length but without body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", false, broken,
     unknown, true, true},
    {"truncated chunked answer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n", false,
     broken, unknown, true, true},
    {"truncated last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n", false,
     broken, unknown, true, true},
    {"invalid chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\nzz\r\n", false,
     broken, unknown, false, true},
};

awaitable<void> answer_and_close(raw_connection& connection, const std::string& text, bool reset) {
    co_await read_request(connection);
    co_await connection.send(text);
    if (reset) {
        reset_socket(connection.socket);
    }
}

// Guards against a result that reports more than the received bytes prove, and against an incomplete answer
// that is reported as complete.
BOOST_DATA_TEST_CASE(result_matches_received_bytes, boost::unit_test::data::make(target_cases), expected) {
    net::io_context context(1);
    const system_time_source clock;
    const target_case row = expected;
    fake_target target(context, [&row](raw_connection& connection, int) -> awaitable<void> {
        return answer_and_close(connection, row.answer, row.reset);
    });
    target_client client(context.get_executor(), target.address, clock, {.target_name = "t"});
    run_on(context, [&]() -> awaitable<void> {
        text_body body("");
        recording_writer writer;
        const exchange_result result = co_await client.exchange(make_head(clock), body, writer);
        BOOST_TEST((result.error == row.kind), result.detail);
        BOOST_TEST((result.execution == row.execution));
        BOOST_TEST(result.target_crashed == row.crashed);
        BOOST_TEST(result.head_written == row.head_written);
        BOOST_TEST(writer.finished == (row.kind == error_kind::none));
        BOOST_TEST(writer.aborted == (row.head_written && row.kind != error_kind::none));
        BOOST_TEST(writer.head.has_value() == row.head_written);
    }());
}

// Guards against an incomplete answer that the caller accepts as complete, for each version of HTTP.
BOOST_DATA_TEST_CASE(broken_answer_is_never_complete,
                     boost::unit_test::data::make(target_cases) *
                         boost::unit_test::data::make({"1.1", "1.0"}),
                     row, version) {
    if (row.kind != broken) {
        return;
    }
    net::io_context context(1);
    const system_time_source clock;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        return answer_and_close(connection, row.answer, row.reset);
    });
    target_client client(context.get_executor(), target.address, clock, {});
    caller_server front(context.get_executor(), {}, client, clock, [] { return "id"; });
    const endpoint address = front.start().value();
    run_on(context, [&]() -> awaitable<void> {
        raw_connection caller(context.get_executor());
        co_await caller.connect(address);
        co_await caller.send("GET / HTTP/" + std::string(version) + "\r\nHost: a\r\n\r\n");
        http::response_parser<http::string_body> parser;
        auto [error, size] = co_await http::async_read(caller.socket, caller.buffer, parser, tuple_awaitable);
        BOOST_TEST(error.failed());
        BOOST_TEST(!parser.is_done());
    }());
}

awaitable<exchange_result> run_exchange(target_client& client, request_head head, recording_writer& writer) {
    text_body body("");
    co_return co_await client.exchange(head, body, writer);
}

// Guards against an execution state "unknown" or "run" when nothing was sent, and "not run" when something
// was.
BOOST_AUTO_TEST_CASE(unsent_request_is_not_run) {
    net::io_context context(1);
    const system_time_source clock;
    int requests = 0;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        co_await read_request(connection);
        ++requests;
        co_await wait_for_close(connection);
    });
    run_on(context, [&]() -> awaitable<void> {
        recording_writer writer;
        bool allowed = false;
        target_client client(context.get_executor(), target.address, clock,
                             {.before_first_byte = [&] { return allowed; }});
        exchange_result result = co_await run_exchange(client, make_head(clock), writer);
        BOOST_TEST((result.error == error_kind::slot_moving));
        BOOST_TEST((result.execution == execution_state::not_run));

        request_head late = make_head(clock);
        late.deadline = clock.now();
        result = co_await run_exchange(client, late, writer);
        BOOST_TEST((result.error == error_kind::deadline_expired));
        BOOST_TEST((result.execution == execution_state::not_run));

        allowed = true;
        request_head short_deadline = make_head(clock);
        short_deadline.deadline = clock.now() + std::chrono::milliseconds(100);
        result = co_await run_exchange(client, short_deadline, writer);
        BOOST_TEST((result.error == error_kind::target_timeout));
        BOOST_TEST((result.execution == execution_state::unknown));
        BOOST_TEST(requests == 1);

        tcp::acceptor closed = open_acceptor(context.get_executor(), {"127.0.0.1", 0}, false).value();
        const endpoint unused_address{"127.0.0.1", closed.local_endpoint().port()};
        closed.close();
        target_client unreachable_client(context.get_executor(), unused_address, clock, {});
        result = co_await run_exchange(unreachable_client, make_head(clock), writer);
        BOOST_TEST((result.error == error_kind::peer_unreachable));
        BOOST_TEST((result.execution == execution_state::not_run));
        BOOST_TEST(!writer.head.has_value());
    }());
}

// Guards against a late or additional answer that is returned for the next request.
BOOST_AUTO_TEST_CASE(late_answer_is_not_returned_for_next_request) {
    net::io_context context(1);
    const system_time_source clock;
    bool second_received = false;
    bool late_sent = false;
    fake_target target(context, [&](raw_connection& connection, int number) -> awaitable<void> {
        co_await read_request(connection);
        if (number == 1) {
            co_await wait_until([&] { return second_received; });
            error_code ignored;
            net::write(connection.socket, net::buffer(complete_answer), ignored);
            late_sent = true;
            co_return;
        }
        second_received = true;
        co_await wait_until([&] { return late_sent; });
        co_await connection.send("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown" + complete_answer);
        co_await wait_for_close(connection);
    });
    target_client client(context.get_executor(), target.address, clock, {});
    run_on(context, [&]() -> awaitable<void> {
        recording_writer first;
        request_head short_deadline = make_head(clock);
        short_deadline.deadline = clock.now() + std::chrono::milliseconds(50);
        const exchange_result timed_out = co_await run_exchange(client, short_deadline, first);
        BOOST_TEST((timed_out.error == error_kind::target_timeout));
        for (int i = 0; i < 2; ++i) {
            recording_writer next;
            const exchange_result result = co_await run_exchange(client, make_head(clock), next);
            BOOST_TEST((result.error == error_kind::none));
            BOOST_TEST(next.body == "own");
        }
    }());
    BOOST_TEST(target.accepted == 3);
    BOOST_TEST(client.idle_connections() == 0U);
}

// Guards against a request on an idle connection that the target has closed or sent bytes on, and against a
// "not run" result when the target closes a reused connection after the request.
BOOST_AUTO_TEST_CASE(idle_connection_is_checked_before_reuse) {
    net::io_context context(1);
    const system_time_source clock;
    fake_target target(context, [&](raw_connection& connection, int number) -> awaitable<void> {
        co_await read_request(connection);
        co_await connection.send(complete_answer);
        if (number == 2) {
            co_await read_request(connection);  // Closes without an answer.
        }
    });
    target_client client(context.get_executor(), target.address, clock, {});
    run_on(context, [&]() -> awaitable<void> {
        recording_writer writer;
        exchange_result result = co_await run_exchange(client, make_head(clock), writer);
        BOOST_TEST((result.error == error_kind::none));
        co_await wait_until([&] { return target.closed == 1; });
        result = co_await run_exchange(client, make_head(clock), writer);
        BOOST_TEST((result.error == error_kind::none));
        BOOST_TEST(target.accepted == 2);
        result = co_await run_exchange(client, make_head(clock), writer);
        BOOST_TEST((result.error == error_kind::outcome_unknown));
        BOOST_TEST(result.target_crashed);
        BOOST_TEST(target.accepted == 2);
    }());
}

/// A request that is sent before the caller disconnects, and the number of exchanges that run together with
/// the GET sent after it: GET and HEAD requests overlap, others delay the next request.
struct disconnect_case {
    std::string text;
    std::size_t exchanges;
};

std::ostream& operator<<(std::ostream& out, const disconnect_case& value) {
    return out << value.text;
}

const std::vector<disconnect_case> requests_before_disconnect{
    {"GET / HTTP/1.1\r\nHost: a\r\n\r\n", 2},
    {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc", 1},
    {"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", 1},
};

// Guards against a target that keeps working after the caller has disconnected, and against reuse of the
// connection of a cancelled exchange.
BOOST_DATA_TEST_CASE(caller_disconnect_closes_target_connection,
                     boost::unit_test::data::make(requests_before_disconnect), row) {
    const disconnect_case request = row;
    net::io_context context(1);
    const system_time_source clock;
    std::size_t received_requests = 0;
    std::size_t target_connections_closed = 0;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        co_await read_request(connection);
        ++received_requests;
        co_await wait_for_close(connection);
        ++target_connections_closed;
    });
    target_client client(context.get_executor(), target.address, clock, {});
    caller_server front(context.get_executor(), {}, client, clock, [] { return "id"; });
    const endpoint address = front.start().value();
    run_on(context, [&]() -> awaitable<void> {
        raw_connection caller(context.get_executor());
        co_await caller.connect(address);
        co_await caller.send(request.text + "GET /pipelined HTTP/1.1\r\nHost: a\r\n\r\n");
        co_await wait_until([&] { return received_requests == request.exchanges; });
        BOOST_TEST(front.open_exchanges() == request.exchanges);
        caller.socket.close();
        co_await wait_until(
            [&] { return target_connections_closed == request.exchanges && front.open_exchanges() == 0; });
    }());
    BOOST_TEST(client.idle_connections() == 0U);
    BOOST_TEST(target.accepted == static_cast<int>(request.exchanges));
}

}  // namespace
}  // namespace teaselpitch::testing
