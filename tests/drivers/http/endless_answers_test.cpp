#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>

#include "drivers/http/admin_server.h"
#include "drivers/http/http_client.h"
#include "tests/drivers/http/fake_target.h"
#include "tests/drivers/http/test_dialect.h"

namespace teaselpitch::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds deadline{1'500};
// Bytes that a target can send before the client has read anything: socket buffers of both sides, with room
// to spare.
constexpr std::size_t socket_buffer_allowance = std::size_t{32} << 20;

struct endless_case {
    const char* name;
    std::string start;     ///< Sent once.
    std::string repeated;  ///< Sent until the client closes the connection.
    bool forwarded;        ///< The client may pass bytes on, because they look like the body of the answer.
};

std::ostream& operator<<(std::ostream& out, const endless_case& value) {
    return out << value.name;
}

const std::string answer_start = "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\n";
const std::string chunked_start = answer_start + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_case> endless_cases{
    {"status line without an end", "HTTP/1.1 200 ", "aaaaaaaa", false},
    {"bytes that are no answer", "", "\xff\xfe\x01 no answer", false},
    {"header fields without an end", answer_start, "X-Field: value\r\n", false},
    {"header field without a line end", answer_start + "X-Field: ", "aaaaaaaa", false},
    {"interim answers without an end", "", "HTTP/1.1 102 Processing\r\n\r\n", false},
    {"answers to another request without an end", "",
     "HTTP/1.1 200 OK\r\nAttempt: r0\r\nSeal: s\r\nContent-Length: 2\r\n\r\nok", false},
    {"answer to another request without an end", "HTTP/1.1 200 OK\r\nAttempt: r0\r\nSeal: s\r\n\r\n",
     "aaaaaaaa", false},
    {"chunk size without an end", chunked_start, "00000000", false},
    {"chunk extension without an end", chunked_start + "5;", "aaaaaaaa", false},
    {"trailer without an end", chunked_start + "0\r\n", "X-Field: value\r\n", false},
    {"body without a length", answer_start + "\r\n", "aaaaaaaa", true},
    {"body with a length of 2^63", answer_start + "Content-Length: 9223372036854775808\r\n\r\n", "aaaaaaaa",
     true},
    {"chunks without an end", chunked_start, "4\r\naaaa\r\n", true},
};

/// Sends the repeated part in pieces of about 64 KiB until the client closes the connection; returns the
/// bytes sent.
awaitable<std::size_t> send_endlessly(raw_connection& connection, const endless_case& row) {
    std::string piece;
    while (piece.size() < std::size_t{64} * 1024) {
        piece += row.repeated;
    }
    std::size_t sent = 0;
    auto [error, count] =
        co_await net::async_write(connection.socket, net::buffer(row.start), tuple_awaitable);
    while (!error) {
        sent += count;
        std::tie(error, count) =
            co_await net::async_write(connection.socket, net::buffer(piece), tuple_awaitable);
    }
    co_return sent;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(endless_answers)

// Pattern: a target in trouble sends bytes without an end. Guards against memory that grows with them,
// against an exchange that outlives its deadline, against an incomplete answer that looks complete, and
// against a connection that stays open.
BOOST_DATA_TEST_CASE(endless_bytes_end_with_the_exchange, boost::unit_test::data::make(endless_cases), row) {
    const endless_case expected = row;
    net::io_context context(1);
    const system_time_source clock;
    std::size_t sent = 0;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        co_await read_request(connection);
        sent = co_await send_endlessly(connection, expected);
    });
    target_client client(context.get_executor(), target.address, clock,
                         {.target_name = "t", .dialect = make_test_dialect()});
    run_on(context, [&]() -> awaitable<void> {
        text_body body("");
        recording_writer writer;
        request_head head = make_head(clock);
        head.deadline = clock.now() + deadline;
        const exchange_result result = co_await client.exchange(head, body, writer);
        BOOST_TEST((clock.now() < head.deadline + 1s));
        BOOST_TEST((result.error != error_kind::none));
        BOOST_TEST((result.execution == execution_state::unknown));
        BOOST_TEST(!writer.finished);
        BOOST_TEST((expected.forwarded || writer.body.empty()));
        BOOST_TEST(writer.head.has_value() == writer.aborted);
        BOOST_TEST(client.idle_connections() == 0U);
        co_await wait_until([&] { return target.closed == 1; });
    }());
    if (std::string_view(expected.name) != "answer to another request without an end" &&
        !expected.forwarded) {
        BOOST_TEST(sent <= socket_buffer_allowance);
    }
}

// Pattern: the store, or another node's table, answers without an end. Guards against memory that grows with
// the bytes until the call times out.
BOOST_DATA_TEST_CASE(endless_replies_to_calls_are_bounded, boost::unit_test::data::make(endless_cases), row) {
    const endless_case expected = row;
    net::io_context context(1);
    std::size_t sent = 0;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        co_await read_request(connection);
        sent = co_await send_endlessly(connection, expected);
    });
    run_on(context, [&]() -> awaitable<void> {
        http_request request;
        request.max_reply_bytes = std::size_t{1} << 20;
        const auto reply =
            co_await send_http_request(context.get_executor(), target.address, request, deadline);
        // A whole reply at the start is one, whatever follows it.
        BOOST_TEST((!reply.ok() || reply->body.size() <= 2U));
        co_await wait_until([&] { return target.closed == 1; });
    }());
    BOOST_TEST(sent <= socket_buffer_allowance);
}

const std::string chunked_request =
    "POST /v1/announce HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";

const std::vector<endless_case> endless_requests{
    {"request line without an end", "POST /", "aaaaaaaa", false},
    {"header fields without an end", "POST / HTTP/1.1\r\n", "X-Field: value\r\n", false},
    {"chunk size without an end", chunked_request, "00000000", false},
    {"chunk extension without an end", chunked_request + "5;", "aaaaaaaa", false},
    {"trailer without an end", chunked_request + "0\r\n", "X-Field: value\r\n", false},
    {"chunks without an end", chunked_request, "4\r\naaaa\r\n", false},
};

// Pattern: a target in trouble sends announcements without an end. Guards against memory of the node that
// grows with them until the request times out.
BOOST_DATA_TEST_CASE(endless_announcements_are_bounded, boost::unit_test::data::make(endless_requests), row) {
    const endless_case expected = row;
    net::io_context context(1);
    admin_server server(
        context.get_executor(), {.listen = {"127.0.0.1", 0}},
        [](const admin_request&) -> awaitable<admin_response> { co_return admin_response{}; });
    const endpoint address = server.start().value();
    std::size_t sent = 0;
    run_on(context, [&]() -> awaitable<void> {
        raw_connection connection(context.get_executor());
        const auto target = to_tcp_endpoint(address).value();
        co_await connection.socket.async_connect(target, net::use_awaitable);
        sent = co_await send_endlessly(connection, expected);
    }());
    BOOST_TEST(sent <= socket_buffer_allowance);
}

struct copy_case {
    const char* name;
    std::string before_next_request;  ///< Sent after the first answer, before the next request.
    std::string
        before_next_answer;  ///< Sent after the next request on the same connection, before its answer.
};

std::ostream& operator<<(std::ostream& out, const copy_case& value) {
    return out << value.name;
}

std::string answer_to(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nAttempt: " + id +
           "\r\nSeal: s\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

const std::string copy = answer_to("r1", "one");

const std::vector<copy_case> copy_cases{
    {"no copy", "", ""},
    {"whole copy before the next request", copy, ""},
    {"whole copy after the next request", "", copy},
    {"copy in pieces around the next request", copy.substr(0, 20), copy.substr(20)},
    {"one byte of a copy before the next request", copy.substr(0, 1), ""},
    {"two copies after the next request", "", copy + copy},
    {"copy without an id", "", "HTTP/1.1 200 OK\r\nSeal: s\r\nContent-Length: 3\r\n\r\none"},
    {"copy that breaks off", "", copy.substr(0, copy.size() - 1)},
};

// Guards against a caller that gets the answer to an earlier request, when the target sends a second copy of
// it late on a connection that is in use again, and against a request that runs once being sent twice because
// of it.
BOOST_DATA_TEST_CASE(late_copies_never_reach_the_next_caller, boost::unit_test::data::make(copy_cases), row) {
    const copy_case expected = row;
    net::io_context context(1);
    const system_time_source clock;
    std::map<std::string, int> received;
    bool copy_sent = false;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        for (int number = 1;; ++number) {
            const auto request = co_await read_request(connection);
            const std::string id(request["Attempt"]);
            ++received[id];
            if (number > 1) {
                co_await connection.send(expected.before_next_answer);
            }
            co_await connection.send(answer_to(id, id == "r1" ? "one" : "two"));
            if (id == "r1") {
                co_await connection.send(expected.before_next_request);
                copy_sent = true;
            }
        }
    });
    target_client client(context.get_executor(), target.address, clock,
                         {.target_name = "t", .dialect = make_test_dialect()});
    run_on(context, [&]() -> awaitable<void> {
        for (const std::string id : {"r1", "r2"}) {
            text_body body("");
            recording_writer writer;
            request_head head = make_head(clock);
            head.request_id = id;
            head.non_idempotent = true;
            const exchange_result result = co_await client.exchange(head, body, writer);
            const std::string right = id == "r1" ? "one" : "two";
            if (result.error == error_kind::none) {
                BOOST_TEST(writer.body == right);
            } else {
                BOOST_TEST(!writer.finished);
                BOOST_TEST((result.execution == execution_state::unknown));
            }
            co_await wait_until([&] { return copy_sent; });
        }
    }());
    BOOST_TEST(received["r1"] == 1);
    BOOST_TEST(received["r2"] == 1);
}

struct cut_case {
    const char* name;
    std::string answer;
    int first_exchanges;  ///< Exchanges with whole answers on the connection before.
};

std::ostream& operator<<(std::ostream& out, const cut_case& value) {
    return out << value.name;
}

const std::string answer_without_length = "HTTP/1.1 200 OK\r\nAttempt: r1\r\nSeal: s\r\n\r\n";

const std::vector<cut_case> cut_cases{
    {"with a length", answer_to("r1", "whole"), 0},
    {"with a length, on a connection in use again", answer_to("r1", "whole"), 1},
    {"in chunks", chunked_start + "5\r\nwhole\r\n0\r\n\r\n", 0},
    {"with an empty body", answer_to("r1", ""), 0},
    {"without a length", answer_without_length, 0},
    {"after an interim answer", "HTTP/1.1 102 Processing\r\n\r\n" + answer_to("r1", "whole"), 0},
};

// Pattern: a target stops in the middle of its answer and closes the connection. Guards against a caller that
// gets a success with an empty or short body, framed as whole, and against a request that counts as not run.
BOOST_DATA_TEST_CASE(answers_cut_at_any_byte_are_not_whole, boost::unit_test::data::make(cut_cases), row) {
    const cut_case expected = row;
    net::io_context context(1);
    const system_time_source clock;
    for (std::size_t cut = 0; cut < expected.answer.size(); ++cut) {
        fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
            for (int number = 0; number < expected.first_exchanges; ++number) {
                co_await read_request(connection);
                co_await connection.send(answer_to("r1", "first"));
            }
            co_await read_request(connection);
            co_await connection.send(expected.answer.substr(0, cut));
        });
        target_client client(context.get_executor(), target.address, clock,
                             {.target_name = "t", .dialect = make_test_dialect()});
        run_on(context, [&]() -> awaitable<void> {
            for (int number = 0; number <= expected.first_exchanges; ++number) {
                text_body body("");
                recording_writer writer;
                request_head head = make_head(clock);
                head.non_idempotent = true;
                const exchange_result result = co_await client.exchange(head, body, writer);
                if (number < expected.first_exchanges) {
                    BOOST_REQUIRE((result.error == error_kind::none));
                    continue;
                }
                BOOST_TEST((result.error != error_kind::none), "cut after " << cut << " bytes");
                BOOST_TEST((result.execution == execution_state::unknown), "cut after " << cut << " bytes");
                BOOST_TEST(!writer.finished, "cut after " << cut << " bytes");
                BOOST_TEST(client.idle_connections() == 0U);
            }
            http_request request;
            const auto reply =
                co_await send_http_request(context.get_executor(), target.address, request, deadline);
            BOOST_TEST((expected.first_exchanges > 0 || !reply.ok() || reply->status != 200U),
                       "reply cut after " << cut << " bytes");
        }());
    }
}

const std::string refusal = "HTTP/1.1 503 Busy\r\nAttempt: r1\r\nNot-Done: 1\r\nContent-Length: 0\r\n\r\n";

const std::vector<copy_case> refusal_cases{
    {"on the connection of the refusal", refusal, ""},
    {"on the connection of the next request", "", refusal},
    {"with status 421", "", "HTTP/1.1 421 Misdirected\r\nAttempt: r1\r\nContent-Length: 0\r\n\r\n"},
    {"without an id", "", "HTTP/1.1 503 Busy\r\nNot-Done: 1\r\nContent-Length: 0\r\n\r\n"},
};

// Guards against a caller that is told that its request has not run, or a second run of it, because the
// target wrote an earlier refusal once more while the request runs.
BOOST_DATA_TEST_CASE(repeated_refusals_never_answer_the_next_request,
                     boost::unit_test::data::make(refusal_cases), row) {
    const copy_case expected = row;
    net::io_context context(1);
    const system_time_source clock;
    std::map<std::string, int> received;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        const auto request = co_await read_request(connection);
        const std::string id(request["Attempt"]);
        ++received[id];
        if (id == "r1") {
            co_await connection.send(refusal + expected.before_next_request);
            co_return;
        }
        co_await connection.send(expected.before_next_answer);
        co_await connection.send(answer_to(id, "two"));
    });
    target_client client(context.get_executor(), target.address, clock,
                         {.target_name = "t", .dialect = make_test_dialect()});
    run_on(context, [&]() -> awaitable<void> {
        for (const std::string id : {"r1", "r2"}) {
            text_body body("");
            recording_writer writer;
            request_head head = make_head(clock);
            head.request_id = id;
            head.non_idempotent = true;
            const exchange_result result = co_await client.exchange(head, body, writer);
            BOOST_TEST((result.execution == execution_state::not_run) == (id == "r1"));
            BOOST_TEST(writer.body == (id == "r1" ? "" : "two"));
            BOOST_TEST(client.idle_connections() == (id == "r1" ? 0U : 1U));
        }
    }());
    BOOST_TEST(received["r1"] == 1);
    BOOST_TEST(received["r2"] == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::testing
