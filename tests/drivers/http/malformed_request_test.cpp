#include <boost/asio/write.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>

#include "tests/drivers/http/http_fixture.h"

namespace teaselpitch::testing {
namespace {

using namespace std::string_literals;

struct malformed_case {
    const char* name;
    std::string text;
    unsigned status;
};

std::ostream& operator<<(std::ostream& out, const malformed_case& value) {
    return out << value.name;
}

enum class split : std::uint8_t { whole, bytes, inside_header };

std::ostream& operator<<(std::ostream& out, split value) {
    return out << static_cast<int>(value);
}

const std::string get = "GET / HTTP/1.1\r\nHost: a\r\n";
const std::string post = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string chunked = post + "Transfer-Encoding: chunked\r\n\r\n";

const std::vector<malformed_case> malformed_cases{
    {"truncated header", "GET / HTTP/1.1\r\nHos", 400},
    {"header without the empty line", get, 400},
    {"two equal lengths", post + "Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400},
    {"two different lengths", post + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400},
    {"list of lengths", post + "Content-Length: 1, 1\r\n\r\na", 400},
    {"negative length", post + "Content-Length: -1\r\n\r\n", 400},
    {"signed length", post + "Content-Length: +1\r\n\r\na", 400},
    {"hexadecimal length", post + "Content-Length: 0x1\r\n\r\na", 400},
    {"empty length", post + "Content-Length:\r\n\r\n", 400},
    {"length over 64 bits", post + "Content-Length: 18446744073709551617\r\n\r\na", 400},
    {"length over the limit", post + "Content-Length: 2000000000\r\n\r\na", 413},
    {"length and coding", post + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
    {"coding and length", post + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n0\r\n\r\n", 400},
    {"unknown coding", post + "Transfer-Encoding: gzip\r\n\r\n", 400},
    {"coding before chunked", post + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400},
    {"coding after chunked", post + "Transfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n", 400},
    {"chunked twice", post + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
     400},
    {"disguised chunked", post + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", 400},
    {"chunked in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
    {"long request line", "GET /" + std::string(9000, 'a') + " HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"long field line", get + "X: " + std::string(9000, 'a') + "\r\n\r\n", 400},
    {"large header",
     get + "X: " + std::string(6000, 'a') + "\r\nY: " + std::string(6000, 'a') +
         "\r\nZ: " + std::string(6000, 'a') + "\r\n\r\n",
     431},
    {"truncated body with length", post + "Content-Length: 10\r\n\r\nabc", 400},
    {"truncated chunk", chunked + "a\r\nabc", 400},
    {"truncated chunk header", chunked + "a", 400},
    {"NUL in the request line", "GET /\0 HTTP/1.1\r\nHost: a\r\n\r\n"s, 400},
    {"NUL in a name", get + "X\0Y: 1\r\n\r\n"s, 400},
    {"NUL in a value", get + "X: a\0b\r\n\r\n"s, 400},
    {"NUL bytes only", "\0\0\0\0"s, 400},
    {"chunk size over 64 bits", chunked + "ffffffffffffffffff\r\nabc", 400},
    {"chunk size over the limit", chunked + "ffffffff\r\nabc", 413},
    {"chunk size of 64 bits", chunked + "ffffffffffffffff\r\nabc", 413},
    {"negative chunk size", chunked + "-1\r\nabc\r\n0\r\n\r\n", 400},
    {"chunk size without digits", chunked + "xyz\r\nabc\r\n0\r\n\r\n", 400},
    {"empty chunk size", chunked + "\r\nabc\r\n0\r\n\r\n", 400},
    {"missing host", "GET / HTTP/1.1\r\n\r\n", 400},
    {"two hosts", get + "Host: b\r\n\r\n", 400},
    {"host with a space", "GET / HTTP/1.1\r\nHost: a b\r\n\r\n", 400},
    {"host with a path", "GET / HTTP/1.1\r\nHost: a/b\r\n\r\n", 400},
    {"target without a slash", "GET x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"target with a fragment", "GET /#x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"target with an invalid escape", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"target with a truncated escape", "GET /%2 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"target with a space", "GET /a b HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"target with a byte above 127", "GET /\xc3\xa9 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"star for GET", "GET * HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"CONNECT", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"empty target", "GET  HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"absolute target without a host", "GET http:///x HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"folded line", get + "X: a\r\n b\r\n\r\n", 400},
    {"folded first field", "GET / HTTP/1.1\r\n Host: a\r\n\r\n", 400},
    {"bare LF", "GET / HTTP/1.1\nHost: a\n\n", 400},
    {"bare LF between fields", get + "X: a\nY: b\r\n\r\n", 400},
    {"bare CR in a value", get + "X: a\rY: b\r\n\r\n", 400},
    {"space before the colon", get + "Content-Length : 3\r\n\r\nabc", 400},
    {"field without a colon", get + "broken\r\n\r\n", 400},
    {"empty field name", get + ": x\r\n\r\n", 400},
    {"method with an invalid byte", "G@T / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"no method", " / HTTP/1.1\r\nHost: a\r\n\r\n", 400},
    {"wrong version", "GET / HTTP/3.7\r\nHost: a\r\n\r\n", 400},
    {"version of two digits", "GET / HTTP/1.11\r\nHost: a\r\n\r\n", 400},
    {"no version", "GET /\r\nHost: a\r\n\r\n", 400},
    {"lower case protocol", "GET / http/1.1\r\nHost: a\r\n\r\n", 400},
    {"unknown expectation", post + "Expect: tea\r\nContent-Length: 1\r\n\r\na", 400},
    {"timeout that is not a number", get + "Teaselpitch-Timeout-Ms: soon\r\n\r\n", 400},
    {"two idempotency keys", get + "Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", 400},
    {"TLS handshake", "\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03"s, 400},
};

const std::vector<split> splits{split::whole, split::bytes, split::inside_header};

std::vector<std::string> split_text(const std::string& text, split splitting) {
    std::vector<std::string> pieces;
    if (splitting == split::bytes) {
        for (const char c : text) {
            pieces.emplace_back(1, c);
        }
    } else if (splitting == split::inside_header) {
        // Also splits a line end, where a parser may accept CR as the complete line end.
        const std::size_t line = text.find('\r');
        const std::size_t middle = line == std::string::npos ? text.size() / 2 : line + 1;
        pieces = {text.substr(0, middle), text.substr(middle)};
    } else {
        pieces = {text};
    }
    return pieces;
}

awaitable<std::string> send_and_read(const endpoint& address, const std::vector<std::string>& pieces) {
    raw_connection caller(co_await net::this_coro::executor);
    co_await caller.connect(address);
    caller.socket.set_option(tcp::no_delay(true));
    for (const std::string& piece : pieces) {
        // The server may reject the request and close before the last piece is sent.
        auto [error, size] = co_await net::async_write(caller.socket, net::buffer(piece), tuple_awaitable);
        if (error) {
            break;
        }
    }
    error_code ignored;
    caller.socket.shutdown(tcp::socket::shutdown_send, ignored);
    co_return co_await caller.read_to_end();
}

// Guards against request smuggling: a malformed request that two parsers interpret differently.
BOOST_DATA_TEST_CASE(malformed_request_is_rejected, boost::unit_test::data::make(malformed_cases) * splits,
                     request, splitting) {
    server_fixture fixture(echo);
    run_on(fixture.context, [&]() -> awaitable<void> {
        const std::string error_reply =
            co_await send_and_read(fixture.address, split_text(request.text, splitting));
        const std::string expected = "HTTP/1.1 " + std::to_string(request.status) + " ";
        BOOST_TEST(error_reply.substr(0, expected.size()) == expected);
        BOOST_TEST(error_reply.find("Teaselpitch-Execution: not-run\r\n") != std::string::npos);
        BOOST_TEST(error_reply.find("Connection: close\r\n") != std::string::npos);
        BOOST_TEST(error_reply.find("HTTP/1.1 ", 1) == std::string::npos);
        BOOST_TEST(fixture.handler.calls == 0);

        raw_connection valid_caller(fixture.context.get_executor());
        co_await valid_caller.connect(fixture.address);
        co_await valid_caller.send("GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto answer = co_await valid_caller.read_answer();
        BOOST_TEST(answer.body() == "GET /next ");
    }());
    BOOST_TEST(fixture.handler.calls == 1);
}

struct accepted_case {
    const char* name;
    std::string text;
    std::string answer;
};

std::ostream& operator<<(std::ostream& out, const accepted_case& value) {
    return out << value.name;
}

const std::vector<accepted_case> accepted_cases{
    {"empty line before the request", "\r\nGET /a HTTP/1.1\r\nHost: a\r\n\r\n", "GET /a "},
    {"absolute target", "GET http://b/x?y HTTP/1.1\r\nHost: a\r\n\r\n", "GET /x?y "},
    {"OPTIONS with a star", "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n", "OPTIONS * "},
    {"empty host", "GET / HTTP/1.1\r\nHost:\r\n\r\n", "GET / "},
    {"HTTP/1.0 without host", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n", "GET / "},
    {"chunk extension", chunked + "3;x=y\r\nabc\r\n0\r\n\r\n", "POST / abc"},
    {"trailer", chunked + "3\r\nabc\r\n0\r\nX-Sum: 1\r\n\r\n", "POST / abc"},
    {"escape", "GET /%20 HTTP/1.1\r\nHost: a\r\n\r\n", "GET /%20 "},
};

// Guards against strict checks that reject valid requests, however the network splits them.
BOOST_DATA_TEST_CASE(valid_request_is_answered, boost::unit_test::data::make(accepted_cases) * splits,
                     request, splitting) {
    server_fixture fixture(echo);
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        for (const std::string& piece : split_text(request.text, splitting)) {
            co_await caller.send(piece);
        }
        const auto answer = co_await caller.read_answer();
        BOOST_TEST(answer.result_int() == 200U);
        BOOST_TEST(answer.body() == request.answer);
    }());
}

}  // namespace
}  // namespace teaselpitch::testing
