#include <boost/test/unit_test.hpp>

#include "servers/admission/memory_account.h"
#include "tests/drivers/http/fake_target.h"
#include "tests/drivers/http/http_fixture.h"

namespace teaselpitch::testing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t body_bytes = 400'000;

std::string post_head(std::size_t size) {
    return "POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(size) + "\r\n\r\n";
}

/// A server whose budget runs on a manual clock.
struct pressure_fixture {
    explicit pressure_fixture(std::size_t capacity)
        : budget(clock, {.capacity_bytes = capacity}), server(echo, make_options()) {}

    caller_server_options make_options() {
        caller_server_options options;
        options.memory = &budget;
        options.connections = &share;
        options.read_ahead_bytes = 512 * 1024;
        options.memory_wait = 60s;
        return options;
    }

    manual_time_source clock;
    memory_budget budget;
    connection_share share{2};
    server_fixture server;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(caller_pressure)

// Guards against bodies that stop short of their end and keep the memory that other bodies wait for.
BOOST_AUTO_TEST_CASE(stalled_body_gives_way_to_one_that_waits) {
    pressure_fixture fixture(1'000'000);
    run_on(fixture.server.context, [&]() -> awaitable<void> {
        raw_connection stalled(fixture.server.context.get_executor());
        co_await stalled.connect(fixture.server.address);
        co_await stalled.send(post_head(body_bytes) + std::string(body_bytes - 7, 'b'));
        co_await wait_until([&] { return fixture.server.handler.calls == 1; });
        raw_connection honest(fixture.server.context.get_executor());
        co_await honest.connect(fixture.server.address);
        co_await honest.send(post_head(body_bytes));
        // The clock moves only after the first body was read, so its progress is not newer.
        co_await wait_until([&] {
            fixture.clock.advance(1s);
            return fixture.budget.count_of(memory_action::stalled_closed) == 1;
        });
        const auto refused = co_await stalled.read_answer();
        BOOST_TEST(refused.result_int() == 503U);
        BOOST_TEST(refused["Teaselpitch-Execution"] == "not-run");
        BOOST_TEST(refused["Retry-After"] == "2");
        co_await honest.send(std::string(body_bytes, 'b'));
        const auto answer = co_await honest.read_answer();
        BOOST_TEST(answer.result_int() == 200U);
        BOOST_TEST(answer.body().size() == body_bytes + std::string("POST /1 ").size());
    }());
}

// Guards against a new body that is taken in above the high mark, and a refusal after which the connection
// waits for the body.
BOOST_AUTO_TEST_CASE(request_with_a_body_is_refused_above_the_high_mark) {
    pressure_fixture fixture(1'000'000);
    memory_account other(&fixture.budget, nullptr);
    other.charge(800'000);
    run_on(fixture.server.context, [&]() -> awaitable<void> {
        raw_connection caller(fixture.server.context.get_executor());
        co_await caller.connect(fixture.server.address);
        co_await caller.send(post_head(body_bytes));
        const auto refused = co_await caller.read_answer();
        BOOST_TEST(refused.result_int() == 503U);
        BOOST_TEST(refused["Connection"] == "close");
        BOOST_TEST(fixture.server.handler.calls == 0);
        BOOST_TEST(fixture.budget.count_of(memory_action::request_refused) == 1U);
        raw_connection reader(fixture.server.context.get_executor());
        co_await reader.connect(fixture.server.address);
        co_await reader.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        const auto answer = co_await reader.read_answer();
        BOOST_TEST(answer.result_int() == 200U);
    }());
}

// Guards against a close of a connection whose request runs, and a caller that is turned away although an
// idle connection could make room for it.
BOOST_AUTO_TEST_CASE(idle_connection_makes_room_for_a_new_one) {
    pressure_fixture fixture(10'000'000);
    run_on(fixture.server.context, [&]() -> awaitable<void> {
        raw_connection idle(fixture.server.context.get_executor());
        co_await idle.connect(fixture.server.address);
        raw_connection busy(fixture.server.context.get_executor());
        co_await busy.connect(fixture.server.address);
        co_await busy.send(post_head(10) + "12345");
        co_await wait_until([&] { return fixture.share.count() == 2; });
        raw_connection fresh(fixture.server.context.get_executor());
        co_await fresh.connect(fixture.server.address);
        co_await fresh.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n");
        BOOST_TEST(co_await idle.read_to_end() == "");
        const auto answer = co_await fresh.read_answer();
        BOOST_TEST(answer.body() == "GET /1 ");
        co_await busy.send("67890");
        const auto late = co_await busy.read_answer();
        BOOST_TEST(late.body() == "POST /1 1234567890");
    }());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::testing
