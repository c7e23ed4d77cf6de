#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include "tests/drivers/peer/peer_fixture.h"
#include "tests/drivers/peer/relay.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(peer_silent)

using namespace std::chrono_literals;

struct silent_fixture : peer_fixture {
    silent_fixture() {
        pool_options.on_silent_connection = [this](const endpoint& peer) { silent.push_back(peer); };
        gate.script = [this](const request_head& head, body_reader&,
                             response_writer& writer) -> awaitable<exchange_result> {
            if (head.path == "/hold") {
                ++held;
                co_await sleep(15s);
            }
            if (head.path == "/half") {
                const response_head answer = ok_head(10);
                (void)co_await writer.write_head(answer);
                ++held;
                co_await sleep(15s);
            }
            co_return co_await answer_with(writer, 10);
        };
        start();
        between = std::make_unique<relay>(context, at);
    }

    awaitable<exchange_result> call(std::string path, recording_writer& writer) {
        pattern_body body(0);
        request_head head = request();
        head.path = std::move(path);
        co_return co_await pool->exchange(between->at(), head, body, writer);
    }

    /// Starts an exchange that the gate holds, then silences its connection.
    exchange_result call_and_silence(std::string path, recording_writer& writer) {
        std::optional<exchange_result> result;
        boost::asio::co_spawn(
            context, [&]() -> awaitable<void> { result = co_await call(path, writer); },
            boost::asio::detached);
        run_until([&] { return held == 1 && (path == "/hold" || writer.head.has_value()); });
        between->silence();
        run_until([&] { return result.has_value(); });
        return result.value();
    }

    std::size_t held = 0;
    std::vector<endpoint> silent;
    std::unique_ptr<relay> between;
};

// Guards against a request that hangs on a connection that fell silent, and against blaming its target.
BOOST_AUTO_TEST_CASE(silent_connection_is_replaced) {
    silent_fixture peers;
    recording_writer first;
    const auto cut = peers.call_and_silence("/hold", first);
    BOOST_TEST(name_of(cut) == "outcome_unknown");
    BOOST_TEST(!cut.target_crashed);
    BOOST_TEST(first.untouched());
    BOOST_TEST(peers.silent.size() == 1U);
    peers.run([&]() -> awaitable<void> {
        recording_writer second;
        BOOST_TEST(name_of(co_await peers.call("/", second)) == "none");
    });
    BOOST_TEST(peers.between->connections() == 2U);
    peers.between->close();
}

// Guards against a cut answer that looks whole after its connection fell silent.
BOOST_AUTO_TEST_CASE(silence_in_an_answer_breaks_it) {
    silent_fixture peers;
    recording_writer writer;
    const auto cut = peers.call_and_silence("/half", writer);
    BOOST_TEST(name_of(cut) == "answer_broken");
    BOOST_TEST(writer.aborted);
    BOOST_TEST(!writer.finished);
    peers.between->close();
}

// Guards against an unknown outcome on a connection that died while it was idle.
BOOST_AUTO_TEST_CASE(quiet_connection_is_verified_before_use) {
    silent_fixture peers;
    peers.run([&]() -> awaitable<void> {
        recording_writer first;
        BOOST_TEST(name_of(co_await peers.call("/", first)) == "none");
        co_await peers.sleep(1100ms);
        peers.between->silence();
        recording_writer second;
        BOOST_TEST(name_of(co_await peers.call("/", second)) == "none");
    });
    BOOST_TEST(peers.silent.size() == 1U);
    BOOST_TEST(peers.between->connections() == 2U);
    peers.between->close();
}

// Guards against a ping deadline that ends exchanges on a connection that works but has nothing to say.
BOOST_AUTO_TEST_CASE(slow_answer_is_no_silence) {
    silent_fixture peers;
    peers.gate.script = [&](const request_head&, body_reader&,
                            response_writer& writer) -> awaitable<exchange_result> {
        co_await peers.sleep(1000ms);
        co_return co_await answer_with(writer, 10);
    };
    peers.run([&]() -> awaitable<void> {
        recording_writer writer;
        BOOST_TEST(name_of(co_await peers.call("/", writer)) == "none");
    });
    BOOST_TEST(peers.silent.empty());
    peers.between->close();
}

// Guards against a listener that accepts and never answers: nothing was sent, so nothing was run.
BOOST_AUTO_TEST_CASE(mute_listener_is_unreachable) {
    silent_fixture peers;
    raw_peer mute(peers.context, "", "", false);
    peers.run([&]() -> awaitable<void> {
        pattern_body body(10);
        recording_writer writer;
        const auto result = co_await peers.pool->exchange(mute.at(), peers.request(true), body, writer);
        BOOST_TEST(name_of(result) == "peer_unreachable");
        BOOST_TEST(body.reads == 0U);
        BOOST_TEST(peers.pool->connections(mute.at()) == 0U);
    });
    mute.close();
    peers.between->close();
}

// Guards against a connect that outlasts the deadline, and a cancelled connect that is reported as possibly
// run.
BOOST_AUTO_TEST_CASE(connect_ends_with_the_exchange) {
    silent_fixture peers;
    peers.pool_options.connect_timeout = 10s;
    peers.pool = std::make_unique<peer_pool>(peers.context.get_executor(), peers.clock, peers.pool_options);
    raw_peer mute(peers.context, "", "", false);
    std::optional<exchange_result> cancelled;
    boost::asio::cancellation_signal cancel;
    peers.run([&]() -> awaitable<void> {
        pattern_body body(10);
        recording_writer writer;
        request_head head = peers.request(true);
        boost::asio::co_spawn(
            peers.context,
            [&]() -> awaitable<void> {
                cancelled = co_await peers.pool->exchange(mute.at(), head, body, writer);
            },
            boost::asio::bind_cancellation_slot(cancel.slot(), boost::asio::detached));
        request_head brief = peers.request(true);
        brief.deadline = peers.clock.now() + 50ms;
        const auto late = co_await peers.pool->exchange(mute.at(), brief, body, writer);
        BOOST_TEST(name_of(late) == "deadline_expired");
        cancel.emit(boost::asio::cancellation_type::terminal);
        co_await peers.sleep(20ms);
        BOOST_REQUIRE(cancelled.has_value());
        BOOST_TEST(name_of(*cancelled) == "cancelled");
        BOOST_TEST((cancelled->execution == execution_state::not_run));
        BOOST_TEST(body.reads == 0U);
        BOOST_TEST(writer.untouched());
    });
    mute.close();
    peers.between->close();
}

// Guards against an exchange that waits for ever on a gate that never answers.
BOOST_AUTO_TEST_CASE(deadline_ends_the_exchange) {
    silent_fixture peers;
    peers.run([&]() -> awaitable<void> {
        pattern_body body(0);
        recording_writer writer;
        request_head head = peers.request();
        head.path = "/hold";
        head.deadline = peers.clock.now() + 100ms;
        const auto late = co_await peers.pool->exchange(peers.at, head, body, writer);
        BOOST_TEST(name_of(late) == "target_timeout");
        head.deadline = peers.clock.now() - 1ms;
        const auto expired = co_await peers.pool->exchange(peers.at, head, body, writer);
        BOOST_TEST(name_of(expired) == "deadline_expired");
    });
    BOOST_TEST(peers.gate.calls == 1U);
    peers.between->close();
}

// Guards against connections that stay open without use.
BOOST_AUTO_TEST_CASE(idle_connection_closes) {
    peer_fixture peers;
    peers.pool_options.idle_timeout = 50ms;
    peers.start();
    peers.run([&]() -> awaitable<void> {
        BOOST_TEST((co_await peers.pool->call(peers.at, "echo", "", 5s)).ok());
        BOOST_TEST(peers.pool->connections(peers.at) == 1U);
    });
    peers.run_until([&] { return peers.pool->connections(peers.at) == 0; });
    BOOST_TEST(peers.pool->connections(peers.at) == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
