#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "drivers/http/admin_server.h"
#include "drivers/http/http_client.h"
#include "tests/drivers/http/http_fixture.h"

namespace teaselpitch::testing {
namespace {

// Guards against requests and answers that are modified by the server or the client.
BOOST_AUTO_TEST_CASE(requests_pass_through_server_and_client) {
    server_fixture target(echo);
    target_client client(target.context.get_executor(), target.address, target.clock, {.target_name = "t9"});
    function_handler forward([&](const request_head& head, body_reader& body,
                                 response_writer& writer) -> awaitable<exchange_result> {
        co_return co_await client.exchange(head, body, writer);
    });
    caller_server front(target.context.get_executor(), {}, forward, target.clock, [] { return "id"; });
    const endpoint address = front.start().value();
    run_on(target.context, [&]() -> awaitable<void> {
        raw_connection caller(target.context.get_executor());
        co_await caller.connect(address);
        for (int i = 0; i < 5; ++i) {
            co_await caller.send(
                "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
                "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
            const auto answer = co_await caller.read_answer();
            BOOST_TEST(answer.body() == "POST /a abcde");
            BOOST_TEST(answer["Teaselpitch-Target"] == "t9");
        }
        caller.socket.close();
        co_await front.drain();  // The last exchange ends shortly after its answer is received.
    }());
    BOOST_TEST(client.idle_connections() == 1U);
}

// Guards against an admin request whose method, path, query or body is lost or confused.
BOOST_AUTO_TEST_CASE(admin_request_reaches_handler) {
    net::io_context context(1);
    admin_server server(context.get_executor(), {.listen = {"127.0.0.1", 0}},
                        [](admin_request request) -> awaitable<admin_response> {
                            co_return admin_response{
                                201, "text/plain",
                                request.method + request.path + request.query["a"] + request.body};
                        });
    const endpoint address = server.start().value();
    run_on(context, [&]() -> awaitable<void> {
        http_request request;
        request.method = "POST";
        request.path = "/v1/x?a=1%20+2&b";
        request.body = "{}";
        const auto reply =
            co_await send_http_request(context.get_executor(), address, request, std::chrono::seconds(5));
        BOOST_REQUIRE(reply.ok());
        BOOST_TEST(reply->status == 201U);
        BOOST_TEST(reply->body == "POST/v1/x1  2{}");
    }());
}

}  // namespace
}  // namespace teaselpitch::testing
