#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

#include "drivers/http/admin_server.h"
#include "drivers/http/http_client.h"
#include "tests/drivers/http/fake_target.h"

namespace teaselpitch::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t max_body_bytes = 4'096;
constexpr std::size_t max_connections = 3;

awaitable<admin_response> answer_ok(const admin_request& /*request*/) {
    co_return admin_response{};
}

struct body_case {
    const char* name;
    std::size_t bytes;
    unsigned status;
    std::size_t limits_met;
};

std::ostream& operator<<(std::ostream& out, const body_case& value) {
    return out << value.name;
}

const std::vector<body_case> body_cases{
    {"no body", 0, 200, 0},
    {"body at the limit", max_body_bytes, 200, 0},
    {"body above the limit", max_body_bytes + 1, 413, 1},
};

// Guards against bodies that are kept although nothing that the listener serves is that long.
BOOST_DATA_TEST_CASE(admin_bodies_are_bounded, boost::unit_test::data::make(body_cases), row) {
    const body_case expected = row;
    net::io_context context(1);
    std::size_t limits_met = 0;
    admin_server server(
        context.get_executor(),
        {.listen = {"127.0.0.1", 0},
         .max_body_bytes = max_body_bytes,
         .limit_met = [&](admin_limit limit) { limits_met += limit == admin_limit::body_size; }},
        answer_ok);
    const endpoint address = server.start().value();
    run_on(context, [&]() -> awaitable<void> {
        http_request request;
        request.method = "POST";
        request.body = std::string(expected.bytes, 'b');
        const auto reply = co_await send_http_request(context.get_executor(), address, request, 5s);
        BOOST_REQUIRE(reply.ok());
        BOOST_TEST(reply->status == expected.status);
    }());
    BOOST_TEST(limits_met == expected.limits_met);
}

// Guards against idle connections that keep a target from announcing itself.
BOOST_AUTO_TEST_CASE(new_admin_connection_replaces_the_oldest) {
    net::io_context context(1);
    std::size_t limits_met = 0;
    admin_server server(
        context.get_executor(),
        {.listen = {"127.0.0.1", 0},
         .max_connections = max_connections,
         .limit_met = [&](admin_limit limit) { limits_met += limit == admin_limit::connections; }},
        answer_ok);
    const endpoint address = server.start().value();
    run_on(context, [&]() -> awaitable<void> {
        const auto target = to_tcp_endpoint(address).value();
        std::vector<std::unique_ptr<raw_connection>> idle;
        for (std::size_t i = 0; i < max_connections; ++i) {
            idle.push_back(std::make_unique<raw_connection>(context.get_executor()));
            co_await idle.back()->socket.async_connect(target, net::use_awaitable);
        }
        const http_request request;
        const auto reply = co_await send_http_request(context.get_executor(), address, request, 5s);
        BOOST_REQUIRE(reply.ok());
        BOOST_TEST(reply->status == 200U);
        char byte = 0;
        auto [error, size] =
            co_await idle.front()->socket.async_read_some(net::buffer(&byte, 1), tuple_awaitable);
        BOOST_TEST(error.failed());
        const bool second_is_open = idle[1]->socket.available() == 0;
        BOOST_TEST(second_is_open);
    }());
    BOOST_TEST(limits_met == 1U);
}

}  // namespace
}  // namespace teaselpitch::testing
