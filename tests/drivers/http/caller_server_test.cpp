#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "drivers/http/http_client.h"
#include "tests/drivers/http/http_fixture.h"

namespace teaselpitch::testing {
namespace {

// Guards against pipelined answers in the wrong order or with the body of another request.
BOOST_AUTO_TEST_CASE(pipelined_requests_are_answered_in_order) {
    server_fixture fixture(echo);
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        std::string text;
        for (int i = 0; i < 20; ++i) {
            const std::string body = "body" + std::to_string(i);
            text += "POST /p" + std::to_string(i) +
                    " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
                    body;
        }
        co_await caller.send(text);
        for (int i = 0; i < 20; ++i) {
            const auto answer = co_await caller.read_answer();
            BOOST_TEST(answer.body() == "POST /p" + std::to_string(i) + " body" + std::to_string(i));
            BOOST_TEST(answer["Teaselpitch-Request-Id"] == "r" + std::to_string(i + 1));
            BOOST_TEST(answer["Teaselpitch-Execution"] == "run");
            BOOST_TEST(answer["Teaselpitch-Target"] == "t1");
            BOOST_TEST(answer["Teaselpitch-Node"] == "n1");
        }
    }());
    BOOST_TEST(fixture.handler.calls == 20);
}

// Guards against a request head that lacks a field of the caller or contains a hop-by-hop field.
BOOST_AUTO_TEST_CASE(request_head_contains_caller_fields) {
    server_fixture fixture(echo);
    run_on(fixture.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.context.get_executor());
        co_await caller.connect(fixture.address);
        co_await caller.send(
            "GET /x?y=1 HTTP/1.1\r\nHost: shop.example:8080\r\nConnection: X-Drop, keep-alive\r\nX-Drop: "
            "1\r\n"
            "X-Keep: 2\r\nTe: trailers\r\nTeaselpitch-Account: acc\r\nIdempotency-Key: k1\r\n"
            "Teaselpitch-Attempt: 1\r\nTeaselpitch-Timeout-Ms: 2000\r\n\r\n");
        const auto answer = co_await caller.read_answer();
        BOOST_TEST(answer.result_int() == 200U);
    }());
    const request_head& head = fixture.handler.heads.at(0);
    BOOST_TEST(head.host == "shop.example");
    BOOST_TEST(head.account == "acc");
    BOOST_TEST(head.idempotency_key == "k1");
    BOOST_TEST(head.first_send);
    BOOST_TEST(!head.has_body);
    BOOST_TEST((head.deadline <= fixture.clock.now() + std::chrono::seconds(2)));
    BOOST_TEST(!find_header(head.headers, "X-Drop").has_value());
    BOOST_TEST(!find_header(head.headers, "TE").has_value());
    BOOST_TEST(!find_header(head.headers, "Connection").has_value());
    BOOST_TEST(find_header(head.headers, "X-Keep").value_or("") == "2");
}

// Guards against a failed exchange whose answer omits the error kind, the execution state or Retry-After.
BOOST_AUTO_TEST_CASE(failed_exchange_is_answered_with_error_kind) {
    server_fixture fixture(
        [](const request_head&, body_reader&, response_writer&) -> awaitable<exchange_result> {
            co_return failed_exchange(error_kind::overloaded, "queue \"full\"");
        });
    run_on(fixture.context, [&]() -> awaitable<void> {
        http_request request;
        const auto reply = co_await send_http_request(fixture.context.get_executor(), fixture.address,
                                                      request, std::chrono::seconds(5));
        BOOST_REQUIRE(reply.ok());
        BOOST_TEST(reply->status == 503U);
        BOOST_TEST(find_header(reply->headers, "Teaselpitch-Error").value_or("") == "overloaded");
        BOOST_TEST(find_header(reply->headers, "Teaselpitch-Execution").value_or("") == "not-run");
        BOOST_TEST(find_header(reply->headers, "Retry-After").value_or("") == "1");
        BOOST_TEST(reply->body.find("\"detail\":\"queue \\\"full\\\"\"") != std::string::npos);
    }());
}

}  // namespace
}  // namespace teaselpitch::testing
