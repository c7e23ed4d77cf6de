#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <ostream>

#include "tests/drivers/peer/peer_fixture.h"
#include "tests/drivers/peer/peer_network_fakes.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(peer_unresponsive)

using namespace std::chrono_literals;

struct unresponsive_fixture : peer_fixture {
    unresponsive_fixture() {
        pool_options.on_unresponsive_connection = [this](const endpoint& peer) {
            unresponsive_peers.push_back(peer);
        };
        gate.script = [this](const request_head& head, body_reader&,
                             response_writer& writer) -> awaitable<exchange_result> {
            if (head.path == "/hold") {
                ++held;
                co_await sleep(15s);
            }
            if (head.path == "/slow") {
                ++held;
                co_await sleep(200ms);
            }
            if (head.path == "/half") {
                const response_head answer = make_ok_head(10);
                (void)co_await writer.write_head(answer);
                ++held;
                co_await sleep(15s);
            }
            co_return co_await write_answer(writer, 10);
        };
        start();
        connection_relay = std::make_unique<tcp_relay>(context, server_endpoint);
    }

    awaitable<exchange_result> call(std::string path, recording_writer& writer) {
        pattern_body body(0);
        request_head head = request();
        head.path = std::move(path);
        head.non_idempotent = non_idempotent;
        head.deadline = clock.now() + request_timeout;
        co_return co_await pool->exchange(connection_relay->listen_endpoint(), head, body, writer);
    }

    /// Starts an exchange that blocks at the gate, then drops the traffic of its connection.
    exchange_result call_and_drop_traffic(std::string path, recording_writer& writer) {
        std::optional<exchange_result> result;
        boost::asio::co_spawn(
            context, [&]() -> awaitable<void> { result = co_await call(path, writer); },
            boost::asio::detached);
        run_until([&] { return held == 1 && (path == "/hold" || writer.head.has_value()); });
        connection_relay->drop_traffic();
        run_until([&] { return result.has_value(); });
        return result.value();
    }

    std::size_t held = 0;
    bool non_idempotent = false;                        ///< Of the next calls.
    std::chrono::milliseconds request_timeout{15'000};  ///< Of the next calls.
    std::vector<endpoint> unresponsive_peers;
    std::unique_ptr<tcp_relay> connection_relay;
};

// Guards against a request that hangs on an unresponsive connection, and against attributing the fault to its
// target.
BOOST_AUTO_TEST_CASE(unresponsive_connection_is_replaced) {
    unresponsive_fixture peers;
    recording_writer first;
    const auto cut = peers.call_and_drop_traffic("/hold", first);
    BOOST_TEST(error_name(cut) == "outcome_unknown");
    BOOST_TEST(!cut.target_crashed);
    BOOST_TEST(first.untouched());
    BOOST_TEST(peers.unresponsive_peers.size() == 1U);
    peers.run([&]() -> awaitable<void> {
        recording_writer second;
        BOOST_TEST(error_name(co_await peers.call("/", second)) == "none");
    });
    BOOST_TEST(peers.connection_relay->connections() == 2U);
    peers.connection_relay->close();
}

struct silence_case {
    const char* name;
    bool non_idempotent;
    const char* result;
};

std::ostream& operator<<(std::ostream& out, const silence_case& value) {
    return out << value.name;
}

const std::vector<silence_case> silence_cases{
    {"an idempotent request can be sent to another peer", false, "outcome_unknown"},
    {"a non-idempotent request gets its answer", true, "none"},
};

// Guards against running work that is given up, although it cannot be repeated, because its peer was silent
// for a while, and against new requests that wait on the silent connection.
BOOST_DATA_TEST_CASE(peer_that_was_silent_for_a_while, boost::unit_test::data::make(silence_cases), row) {
    unresponsive_fixture peers;
    recording_writer writer;
    std::optional<exchange_result> result;
    peers.non_idempotent = row.non_idempotent;
    boost::asio::co_spawn(
        peers.context, [&]() -> awaitable<void> { result = co_await peers.call("/slow", writer); },
        boost::asio::detached);
    peers.run_until([&] { return peers.held == 1; });
    peers.connection_relay->hold_traffic(true);
    peers.run_until([&] { return !peers.unresponsive_peers.empty(); });
    peers.run([&]() -> awaitable<void> {
        recording_writer other;
        BOOST_TEST(error_name(co_await peers.call("/", other)) == "none");
    });
    BOOST_TEST(peers.connection_relay->connections() == 2U);
    BOOST_TEST(result.has_value() == !row.non_idempotent);
    peers.connection_relay->hold_traffic(false);
    peers.run_until([&] { return result.has_value(); });
    BOOST_TEST(error_name(*result) == row.result);
    BOOST_TEST(writer.finished == row.non_idempotent);
    BOOST_TEST(peers.held == 1U);
    BOOST_TEST(peers.unresponsive_peers.size() == 1U);
    peers.run_until([&] { return peers.pool->connections(peers.connection_relay->listen_endpoint()) == 1; });
    peers.connection_relay->close();
}

// Guards against an unresponsive connection that a non-idempotent request keeps after its deadline.
BOOST_AUTO_TEST_CASE(waiting_ends_with_the_deadline) {
    unresponsive_fixture peers;
    peers.non_idempotent = true;
    peers.request_timeout = 1s;
    recording_writer writer;
    const auto cut = peers.call_and_drop_traffic("/hold", writer);
    BOOST_TEST(error_name(cut) == "outcome_unknown");
    BOOST_TEST(writer.untouched());
    peers.run_until([&] { return peers.pool->connections(peers.connection_relay->listen_endpoint()) == 0; });
    peers.connection_relay->close();
}

// Guards against an incomplete answer that is reported as complete when its connection stops responding.
BOOST_AUTO_TEST_CASE(unresponsive_connection_breaks_the_answer) {
    unresponsive_fixture peers;
    recording_writer writer;
    const auto cut = peers.call_and_drop_traffic("/half", writer);
    BOOST_TEST(error_name(cut) == "answer_broken");
    BOOST_TEST(writer.aborted);
    BOOST_TEST(!writer.finished);
    peers.connection_relay->close();
}

// Guards against an unknown outcome on a connection that stopped responding while it was idle.
BOOST_AUTO_TEST_CASE(idle_connection_is_verified_before_use) {
    unresponsive_fixture peers;
    peers.run([&]() -> awaitable<void> {
        recording_writer first;
        BOOST_TEST(error_name(co_await peers.call("/", first)) == "none");
        co_await peers.sleep(1100ms);
        peers.connection_relay->drop_traffic();
        recording_writer second;
        BOOST_TEST(error_name(co_await peers.call("/", second)) == "none");
    });
    BOOST_TEST(peers.unresponsive_peers.size() == 1U);
    BOOST_TEST(peers.connection_relay->connections() == 2U);
    peers.connection_relay->close();
}

// Guards against a ping deadline that ends exchanges on a working connection without data to transfer.
BOOST_AUTO_TEST_CASE(slow_answer_keeps_the_connection) {
    unresponsive_fixture peers;
    peers.gate.script = [&](const request_head&, body_reader&,
                            response_writer& writer) -> awaitable<exchange_result> {
        co_await peers.sleep(1000ms);
        co_return co_await write_answer(writer, 10);
    };
    peers.run([&]() -> awaitable<void> {
        recording_writer writer;
        BOOST_TEST(error_name(co_await peers.call("/", writer)) == "none");
    });
    BOOST_TEST(peers.unresponsive_peers.empty());
    peers.connection_relay->close();
}

// Guards against an unknown outcome on a listener that accepts connections but sends no SETTINGS. No request
// was sent, so none was run.
BOOST_AUTO_TEST_CASE(listener_without_settings_is_unreachable) {
    unresponsive_fixture peers;
    scripted_peer unresponsive_listener(peers.context, "", "", false);
    peers.run([&]() -> awaitable<void> {
        pattern_body body(10);
        recording_writer writer;
        const auto result = co_await peers.pool->exchange(unresponsive_listener.listen_endpoint(),
                                                          peers.request(true), body, writer);
        BOOST_TEST(error_name(result) == "peer_unreachable");
        BOOST_TEST(body.reads == 0U);
        BOOST_TEST(peers.pool->connections(unresponsive_listener.listen_endpoint()) == 0U);
    });
    unresponsive_listener.close();
    peers.connection_relay->close();
}

// Guards against a connection attempt that outlasts the deadline of its exchange, and against an exchange
// that is cancelled while connecting and reported as possibly run.
BOOST_AUTO_TEST_CASE(connect_ends_with_the_exchange) {
    unresponsive_fixture peers;
    peers.pool_options.connect_timeout = 10s;
    peers.pool = std::make_unique<peer_pool>(peers.context.get_executor(), peers.clock, peers.pool_options);
    scripted_peer unresponsive_listener(peers.context, "", "", false);
    std::optional<exchange_result> cancelled;
    boost::asio::cancellation_signal cancel;
    peers.run([&]() -> awaitable<void> {
        pattern_body body(10);
        recording_writer writer;
        request_head head = peers.request(true);
        boost::asio::co_spawn(
            peers.context,
            [&]() -> awaitable<void> {
                cancelled = co_await peers.pool->exchange(unresponsive_listener.listen_endpoint(), head, body,
                                                          writer);
            },
            boost::asio::bind_cancellation_slot(cancel.slot(), boost::asio::detached));
        request_head short_deadline_head = peers.request(true);
        short_deadline_head.deadline = peers.clock.now() + 50ms;
        const auto late = co_await peers.pool->exchange(unresponsive_listener.listen_endpoint(),
                                                        short_deadline_head, body, writer);
        BOOST_TEST(error_name(late) == "deadline_expired");
        cancel.emit(boost::asio::cancellation_type::terminal);
        co_await peers.sleep(20ms);
        BOOST_REQUIRE(cancelled.has_value());
        BOOST_TEST(error_name(*cancelled) == "cancelled");
        BOOST_TEST((cancelled->execution == execution_state::not_run));
        BOOST_TEST(body.reads == 0U);
        BOOST_TEST(writer.untouched());
    });
    unresponsive_listener.close();
    peers.connection_relay->close();
}

// Guards against an exchange that waits forever for a gate that never answers.
BOOST_AUTO_TEST_CASE(deadline_ends_the_exchange) {
    unresponsive_fixture peers;
    peers.run([&]() -> awaitable<void> {
        pattern_body body(0);
        recording_writer writer;
        request_head head = peers.request();
        head.path = "/hold";
        head.deadline = peers.clock.now() + 100ms;
        const auto late = co_await peers.pool->exchange(peers.server_endpoint, head, body, writer);
        BOOST_TEST(error_name(late) == "target_timeout");
        head.deadline = peers.clock.now() - 1ms;
        const auto expired = co_await peers.pool->exchange(peers.server_endpoint, head, body, writer);
        BOOST_TEST(error_name(expired) == "deadline_expired");
    });
    BOOST_TEST(peers.gate.calls == 1U);
    peers.connection_relay->close();
}

// Guards against unused connections that stay open.
BOOST_AUTO_TEST_CASE(idle_connection_closes) {
    peer_fixture peers;
    peers.pool_options.idle_timeout = 50ms;
    peers.start();
    peers.run([&]() -> awaitable<void> {
        BOOST_TEST((co_await peers.pool->call(peers.server_endpoint, "echo", "", 5s)).ok());
        BOOST_TEST(peers.pool->connections(peers.server_endpoint) == 1U);
    });
    peers.run_until([&] { return peers.pool->connections(peers.server_endpoint) == 0; });
    BOOST_TEST(peers.pool->connections(peers.server_endpoint) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
