#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "tests/drivers/http/bulk_body.h"
#include "tests/drivers/http/fake_target.h"

namespace teaselpitch::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t upload_bytes = std::size_t{30} << 20;
// More than the socket buffers of both sides hold unread, so that the upload blocks in a write.
constexpr std::size_t blocked_upload_bytes = std::size_t{12} << 20;

enum class ending : std::uint8_t {
    reset,                ///< Close with SO_LINGER 0.
    close_with_unread,    ///< Close while bytes of the upload are unread; the kernel sends a reset.
    half_close_and_reset  ///< End of the data, then a reset.
};

struct early_case {
    const char* name;
    std::size_t read_before_answer;  ///< Bytes of the upload that the target reads before it answers.
    std::vector<std::string> pieces;
    ending end;
    bool upload_blocked;  ///< The target answers only after the upload has filled the socket buffers.
    bool pause;           ///< The client processes the answer before the connection ends.
};

std::ostream& operator<<(std::ostream& out, const early_case& value) {
    return out << value.name;
}

const std::string head_without_length = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n";
const std::string http_1_0_head = "HTTP/1.0 200 OK\r\n\r\n";
const std::vector<std::string> one_piece{head_without_length + "a part of the body"};
const std::vector<std::string> several_pieces{"HTTP/1.1 200 OK\r\nConte", "nt-Type: text/plain\r\n\r\n",
                                              "a part ", "of the body"};

const std::vector<early_case> early_cases{
    {"reset at once", 0, one_piece, ending::reset, false, false},
    {"reset while a write is blocked", 0, one_piece, ending::reset, true, false},
    {"reset while a write is blocked, after the answer was read", 0, one_piece, ending::reset, true, true},
    {"reset after 1 MB of the upload", std::size_t{1} << 20, one_piece, ending::reset, true, true},
    {"reset after 8 MB of the upload", std::size_t{8} << 20, one_piece, ending::reset, false, true},
    {"answer in pieces, reset", 0, several_pieces, ending::reset, true, true},
    {"answer in pieces, reset at once", 0, several_pieces, ending::reset, true, false},
    {"answer of HTTP/1.0, reset", 0, {http_1_0_head + "part"}, ending::reset, true, true},
    {"head alone, reset", 0, {head_without_length}, ending::reset, true, false},
    {"close with unread bytes", 0, one_piece, ending::close_with_unread, true, false},
    {"close with unread bytes, after the answer was read", 0, one_piece, ending::close_with_unread, true,
     true},
    {"answer in pieces, close with unread bytes", 0, several_pieces, ending::close_with_unread, true, true},
    {"close with unread bytes at once", 0, one_piece, ending::close_with_unread, false, false},
    {"end of the data, then reset", 0, one_piece, ending::half_close_and_reset, true, false},
    {"end of the data, then reset after a pause", 0, one_piece, ending::half_close_and_reset, true, true},
};

awaitable<void> read_bytes(raw_connection& connection, std::size_t size) {
    std::string piece(65'536, '\0');
    while (size > 0) {
        size -= co_await connection.socket.async_read_some(net::buffer(piece, std::min(size, piece.size())),
                                                           net::use_awaitable);
    }
}

awaitable<void> pause_for(std::chrono::milliseconds duration) {
    net::steady_timer timer(co_await net::this_coro::executor, duration);
    co_await timer.async_wait(net::use_awaitable);
}

/// Waits until the client has stopped reading the upload, because its writes are blocked.
awaitable<void> wait_for_blocked_upload(const bulk_body& body) {
    std::size_t before = 0;
    do {
        before = body.position;
        co_await pause_for(20ms);
    } while (body.position != before && body.position < blocked_upload_bytes);
}

awaitable<void> answer_early(raw_connection& connection, const early_case& row, const bulk_body& body) {
    co_await read_bytes(connection, 16);
    co_await read_bytes(connection, row.read_before_answer);
    if (row.upload_blocked) {
        co_await wait_for_blocked_upload(body);
    }
    for (const std::string& piece : row.pieces) {
        co_await connection.send(piece);
        if (row.pause) {
            co_await pause_for(5ms);
        }
    }
    if (row.end == ending::half_close_and_reset) {
        connection.socket.shutdown(tcp::socket::shutdown_send);
        if (row.pause) {
            co_await pause_for(5ms);
        }
    }
    if (row.end == ending::close_with_unread) {
        connection.socket.close();
    } else {
        reset_socket(connection.socket);
    }
}

void check_early_answer(const early_case& row, bool chunked) {
    net::io_context context(1);
    const system_time_source clock;
    bulk_body body(upload_bytes);
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        co_await answer_early(connection, row, body);
    });
    target_client client(context.get_executor(), target.address, clock, {.target_name = "t"});
    run_on(context, [&]() -> awaitable<void> {
        recording_writer writer;
        request_head head = make_head(clock);
        head.method = "POST";
        head.has_body = true;
        head.non_idempotent = true;
        if (!chunked) {
            head.content_length = upload_bytes;
        }
        const exchange_result result = co_await client.exchange(head, body, writer);
        BOOST_TEST((result.error != error_kind::none));
        BOOST_TEST((result.execution == execution_state::unknown));
        BOOST_TEST(!writer.finished);
        BOOST_TEST(writer.head.has_value() == writer.aborted);
        BOOST_TEST(client.idle_connections() == 0U);
    }());
    BOOST_TEST(target.accepted == 1);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(early_answers)

// Pattern: a target answers a long upload at once, without a length, and its connection breaks off in the
// body. Guards against a caller that gets this part as a whole answer, because a write of the upload has
// consumed the error of the connection and the next read sees a clean end.
BOOST_DATA_TEST_CASE(broken_answer_to_a_sized_upload_is_not_whole, boost::unit_test::data::make(early_cases),
                     row) {
    check_early_answer(row, false);
}

BOOST_DATA_TEST_CASE(broken_answer_to_a_chunked_upload_is_not_whole,
                     boost::unit_test::data::make(early_cases), row) {
    check_early_answer(row, true);
}

struct whole_case {
    const char* name;
    std::string answer;
    bool read_upload;  ///< The target reads the whole upload before it answers.
};

std::ostream& operator<<(std::ostream& out, const whole_case& value) {
    return out << value.name;
}

const std::vector<whole_case> whole_cases{
    {"without a length, after the upload", head_without_length + "whole", true},
    {"with a length, before the upload", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole", false},
    {"in chunks, before the upload",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n", false},
};

// Guards against whole answers that count as broken: one that ends with the connection after the target has
// read the upload, and early ones that state where they end.
BOOST_DATA_TEST_CASE(whole_answers_to_uploads_stay_whole, boost::unit_test::data::make(whole_cases), row) {
    const whole_case expected = row;
    constexpr std::size_t small_upload_bytes = std::size_t{2} << 20;
    net::io_context context(1);
    const system_time_source clock;
    fake_target target(context, [&](raw_connection& connection, int) -> awaitable<void> {
        if (expected.read_upload) {
            http::request_parser<http::string_body> parser;
            parser.body_limit(boost::none);
            co_await http::async_read(connection.socket, connection.buffer, parser, net::use_awaitable);
        }
        co_await connection.send(expected.answer);
        if (!expected.read_upload) {
            co_await wait_for_close(connection);
        }
    });
    target_client client(context.get_executor(), target.address, clock, {.target_name = "t"});
    run_on(context, [&]() -> awaitable<void> {
        bulk_body body(small_upload_bytes);
        recording_writer writer;
        request_head head = make_head(clock);
        head.method = "POST";
        head.has_body = true;
        const exchange_result result = co_await client.exchange(head, body, writer);
        BOOST_TEST((result.error == error_kind::none), result.detail);
        BOOST_TEST(writer.finished);
        BOOST_TEST(writer.body == "whole");
    }());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::testing
