
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include "tests/drivers/peer/peer_fixture.h"
#include "tests/drivers/peer/relay.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(peer_flow)

using namespace std::chrono_literals;

// Windows of 256 KiB and queues of 64 KiB on both sides bound what a held reader lets through.
constexpr std::size_t held_limit = 1'000'000;
constexpr std::size_t large = 10'000'000;

/// Lets coroutines wait until the test opens it.
class barrier {
public:
    explicit barrier(peer_fixture& peers) : peers_(peers) {}
    void open() { open_ = true; }
    awaitable<void> wait() {
        ++waiting;
        while (!open_) {
            co_await peers_.sleep(1ms);
        }
    }
    std::size_t waiting = 0;

private:
    peer_fixture& peers_;
    bool open_ = false;
};

/// Runs one exchange in the background and keeps its end.
struct background_exchange {
    background_exchange(peer_fixture& peers, std::size_t body_size, const request_head& head)
        : body(body_size) {
        boost::asio::co_spawn(
            peers.context,
            [this, &peers, head]() -> awaitable<void> {
                result = co_await peers.pool->exchange(peers.at, head, body, writer);
            },
            boost::asio::bind_cancellation_slot(cancel.slot(), [this](const std::exception_ptr& failure) {
                failed = failure != nullptr;
                done = true;
            }));
    }

    pattern_body body;
    recording_writer writer;
    exchange_result result;
    boost::asio::cancellation_signal cancel;
    bool done = false;
    bool failed = false;
};

// Guards against an answer that is buffered without bound for a slow caller, and against a slow caller that
// blocks the other streams of its connection.
BOOST_AUTO_TEST_CASE(slow_caller_holds_only_its_own_answer) {
    peer_fixture peers;
    std::size_t written = 0;
    peers.gate.script = [&](const request_head& head, body_reader&,
                            response_writer& writer) -> awaitable<exchange_result> {
        if (head.path == "/small") {
            co_return co_await answer_with(writer, 70'000);
        }
        const response_head answer = ok_head(large);
        (void)co_await writer.write_head(answer);
        std::vector<std::byte> chunk(10'000);
        for (written = 0; written < large; written += chunk.size()) {
            for (std::size_t i = 0; i < chunk.size(); ++i) {
                chunk[i] = pattern_at(written + i);
            }
            (void)co_await writer.write_body(chunk);
        }
        (void)co_await writer.finish();
        co_return exchange_result{};
    };
    peers.start();
    barrier held(peers);
    background_exchange slow(peers, 0, peers.request());
    slow.writer.hold = [&] { return held.wait(); };
    peers.run([&]() -> awaitable<void> {
        while (held.waiting == 0) {
            co_await peers.sleep(1ms);
        }
        request_head small = peers.request();
        small.path = "/small";
        for (int i = 0; i < 20; ++i) {
            pattern_body body(0);
            recording_writer writer;
            const auto result = co_await peers.pool->exchange(peers.at, small, body, writer);
            BOOST_TEST(name_of(result) == "none");
            BOOST_TEST(writer.received == 70'000U);
        }
    });
    BOOST_TEST(written < held_limit);
    BOOST_TEST(peers.pool->connections(peers.at) == 1U);
    held.open();
    peers.run_until([&] { return slow.done; });
    BOOST_TEST(name_of(slow.result) == "none");
    BOOST_TEST(slow.writer.received == large);
    BOOST_TEST(slow.writer.correct);
}

// Guards against an upload that is buffered without bound for a slow target.
BOOST_AUTO_TEST_CASE(slow_gate_holds_only_its_own_upload) {
    peer_fixture peers;
    barrier held(peers);
    peers.gate.script = [&](const request_head& head, body_reader& body,
                            response_writer& writer) -> awaitable<exchange_result> {
        std::vector<std::byte> first(1);
        if (head.path == "/slow") {
            BOOST_TEST((co_await body.read_some(first)).value() == 1U);
            co_await held.wait();
        }
        std::vector<std::byte> rest(50'000);
        std::size_t size = first.size();
        while (true) {
            const auto count = co_await body.read_some(rest);
            if (!count.ok() || *count == 0) {
                break;
            }
            size += *count;
        }
        co_return co_await answer_with(writer, size % 1000);
    };
    peers.start();
    request_head slow_head = peers.request(true);
    slow_head.path = "/slow";
    background_exchange slow(peers, large, slow_head);
    peers.run([&]() -> awaitable<void> {
        while (held.waiting == 0) {
            co_await peers.sleep(1ms);
        }
        for (int i = 0; i < 20; ++i) {
            pattern_body body(300'000);
            recording_writer writer;
            const auto result = co_await peers.pool->exchange(peers.at, peers.request(true), body, writer);
            BOOST_TEST(name_of(result) == "none");
        }
    });
    BOOST_TEST(slow.body.position < held_limit);
    held.open();
    peers.run_until([&] { return slow.done; });
    BOOST_TEST(name_of(slow.result) == "none");
    BOOST_TEST(slow.body.position == large);
}

// Guards against a cancelled exchange that goes on running at the gate.
BOOST_AUTO_TEST_CASE(cancellation_reaches_the_gate) {
    peer_fixture peers;
    barrier never(peers);
    bool unwound = false;
    peers.gate.script = [&](const request_head&, body_reader&,
                            response_writer&) -> awaitable<exchange_result> {
        const auto mark = std::shared_ptr<void>(nullptr, [&](void*) { unwound = true; });
        co_await never.wait();
        co_return exchange_result{};
    };
    peers.start();
    background_exchange call(peers, 100, peers.request(true));
    peers.run_until([&] { return never.waiting == 1; });
    BOOST_TEST(!unwound);
    call.cancel.emit(boost::asio::cancellation_type::terminal);
    peers.run_until([&] { return call.done && unwound; });
    BOOST_TEST(unwound);
    BOOST_TEST(call.writer.untouched());
    BOOST_TEST(call.body.reads == 0U);
}

// Guards against a drain that cuts an exchange in flight, or that never completes.
BOOST_AUTO_TEST_CASE(drain_cuts_nothing) {
    peer_fixture peers;
    barrier held(peers);
    peers.gate.script = [&](const request_head&, body_reader& body,
                            response_writer& writer) -> awaitable<exchange_result> {
        co_await held.wait();
        BOOST_TEST((co_await drain_body(body)) == 1'000'000U);
        co_return co_await answer_with(writer, 1'000'000);
    };
    peers.start();
    std::vector<std::unique_ptr<background_exchange>> calls;
    calls.reserve(10);
    for (int i = 0; i < 10; ++i) {
        calls.push_back(std::make_unique<background_exchange>(peers, 1'000'000, peers.request(true)));
    }
    peers.run_until([&] { return held.waiting == 10; });
    bool drained = false;
    boost::asio::co_spawn(peers.context, peers.server->drain(),
                          [&](const std::exception_ptr&) { drained = true; });
    peers.run([&]() -> awaitable<void> {
        co_await peers.sleep(100ms);
        BOOST_TEST(!drained);
        pattern_body body(10);
        recording_writer writer;
        const auto refused = co_await peers.pool->exchange(peers.at, peers.request(true), body, writer);
        BOOST_TEST((refused.execution == execution_state::not_run));
    });
    held.open();
    peers.run_until([&] { return drained; });
    BOOST_TEST(drained);
    peers.run_until(
        [&] { return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done; }); });
    for (const auto& call : calls) {
        BOOST_TEST(name_of(call->result) == "none");
        BOOST_TEST(call->writer.received == 1'000'000U);
    }
}

// Guards against unbounded queueing at the stream limit, and against a limit that one connection sets.
BOOST_AUTO_TEST_CASE(stream_limit_opens_a_second_connection) {
    peer_fixture peers;
    peers.server_options.max_concurrent_streams = 2;
    barrier held(peers);
    peers.gate.script = [&](const request_head&, body_reader&,
                            response_writer& writer) -> awaitable<exchange_result> {
        co_await held.wait();
        co_return co_await answer_with(writer, 1);
    };
    peers.start();
    std::vector<std::unique_ptr<background_exchange>> calls;
    calls.reserve(10);
    for (std::size_t i = 1; i <= 4; ++i) {
        calls.push_back(std::make_unique<background_exchange>(peers, 0, peers.request()));
        peers.run_until([&] { return held.waiting == i; });
    }
    BOOST_TEST(peers.pool->connections(peers.at) == 2U);
    background_exchange fifth(peers, 0, peers.request());
    peers.run_until([&] { return fifth.done; });
    BOOST_TEST(name_of(fifth.result) == "overloaded");
    held.open();
    peers.run_until([&] { return calls[0]->done && calls[1]->done && calls[2]->done && calls[3]->done; });
    for (const auto& call : calls) {
        BOOST_TEST(name_of(call->result) == "none");
    }
}

// Guards against a listener that breaks on bytes that are no HTTP/2, and against a pool that does.
BOOST_AUTO_TEST_CASE(garbage_does_no_harm) {
    peer_fixture peers;
    peers.gate.script = [&](const request_head&, body_reader&, response_writer& writer) {
        return answer_with(writer, 10);
    };
    peers.start();
    const std::vector<std::string> inputs{"GET / HTTP/1.1\r\n\r\n", std::string(70'000, '\xff'),
                                          "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(90, '\x01'),
                                          "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + raw_peer::frame(4, 0, "") +
                                              raw_peer::frame(1, 1, "\xff\xff\xff\xff"),
                                          ""};
    peers.run([&]() -> awaitable<void> {
        std::vector<boost::asio::ip::tcp::socket> open;
        for (const std::string& input : inputs) {
            auto& socket = open.emplace_back(peers.context);
            co_await socket.async_connect({boost::asio::ip::make_address(peers.at.address), peers.at.port},
                                          boost::asio::use_awaitable);
            co_await boost::asio::async_write(socket, boost::asio::buffer(input),
                                              boost::asio::as_tuple(boost::asio::use_awaitable));
            pattern_body body(0);
            recording_writer writer;
            const auto result = co_await peers.pool->exchange(peers.at, peers.request(), body, writer);
            BOOST_TEST(name_of(result) == "none");
        }
    });
    BOOST_TEST(peers.gate.calls == inputs.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
