
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/cancellation_signal.hpp>

#include "tests/drivers/peer/peer_fixture.h"
#include "tests/drivers/peer/peer_network_fakes.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(peer_flow)

using namespace std::chrono_literals;

// Windows of 256 KiB and queues of 64 KiB on both sides limit the bytes sent while the reader is blocked.
constexpr std::size_t blocked_transfer_limit_bytes = 1'000'000;
constexpr std::size_t large_body_bytes = 10'000'000;

/// Blocks coroutines until the test opens it; counts them in `waiting`.
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

/// Runs one exchange in the background and records its result.
struct background_exchange {
    background_exchange(peer_fixture& peers, std::size_t body_size, const request_head& head)
        : body(body_size) {
        boost::asio::co_spawn(
            peers.context,
            [this, &peers, head]() -> awaitable<void> {
                result = co_await peers.pool->exchange(peers.server_endpoint, head, body, writer);
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

// Guards against unlimited buffering of an answer for a slow caller, and against a slow caller that blocks
// the other streams of its connection.
BOOST_AUTO_TEST_CASE(slow_caller_delays_only_its_own_answer) {
    peer_fixture peers;
    std::size_t written = 0;
    peers.gate.script = [&](const request_head& head, body_reader&,
                            response_writer& writer) -> awaitable<exchange_result> {
        if (head.path == "/small") {
            co_return co_await write_answer(writer, 70'000);
        }
        const response_head answer = make_ok_head(large_body_bytes);
        (void)co_await writer.write_head(answer);
        std::vector<std::byte> chunk(10'000);
        for (written = 0; written < large_body_bytes; written += chunk.size()) {
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
    slow.writer.before_write = [&] { return held.wait(); };
    peers.run([&]() -> awaitable<void> {
        while (held.waiting == 0) {
            co_await peers.sleep(1ms);
        }
        request_head small = peers.request();
        small.path = "/small";
        for (int i = 0; i < 20; ++i) {
            pattern_body body(0);
            recording_writer writer;
            const auto result = co_await peers.pool->exchange(peers.server_endpoint, small, body, writer);
            BOOST_TEST(error_name(result) == "none");
            BOOST_TEST(writer.received == 70'000U);
        }
    });
    BOOST_TEST(written < blocked_transfer_limit_bytes);
    BOOST_TEST(peers.pool->connections(peers.server_endpoint) == 1U);
    held.open();
    peers.run_until([&] { return slow.done; });
    BOOST_TEST(error_name(slow.result) == "none");
    BOOST_TEST(slow.writer.received == large_body_bytes);
    BOOST_TEST(slow.writer.correct);
}

// Guards against unlimited buffering of a request body for a slow target, and against a slow upload that
// blocks the other streams of its connection.
BOOST_AUTO_TEST_CASE(slow_gate_delays_only_its_own_upload) {
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
        co_return co_await write_answer(writer, size % 1000);
    };
    peers.start();
    request_head slow_head = peers.request(true);
    slow_head.path = "/slow";
    background_exchange slow(peers, large_body_bytes, slow_head);
    peers.run([&]() -> awaitable<void> {
        while (held.waiting == 0) {
            co_await peers.sleep(1ms);
        }
        for (int i = 0; i < 20; ++i) {
            pattern_body body(300'000);
            recording_writer writer;
            const auto result =
                co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
            BOOST_TEST(error_name(result) == "none");
        }
    });
    BOOST_TEST(slow.body.position < blocked_transfer_limit_bytes);
    held.open();
    peers.run_until([&] { return slow.done; });
    BOOST_TEST(error_name(slow.result) == "none");
    BOOST_TEST(slow.body.position == large_body_bytes);
}

// Guards against a cancelled exchange whose handler at the gate keeps running.
BOOST_AUTO_TEST_CASE(cancellation_reaches_the_gate) {
    peer_fixture peers;
    barrier never(peers);
    bool unwound = false;
    peers.gate.script = [&](const request_head&, body_reader&,
                            response_writer&) -> awaitable<exchange_result> {
        const auto unwind_guard = std::shared_ptr<void>(nullptr, [&](void*) { unwound = true; });
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

// Guards against a drain that aborts a running exchange or never completes.
BOOST_AUTO_TEST_CASE(drain_completes_running_exchanges) {
    peer_fixture peers;
    barrier held(peers);
    peers.gate.script = [&](const request_head&, body_reader& body,
                            response_writer& writer) -> awaitable<exchange_result> {
        co_await held.wait();
        BOOST_TEST((co_await read_whole_body(body)) == 1'000'000U);
        co_return co_await write_answer(writer, 1'000'000);
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
        const auto refused =
            co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
        BOOST_TEST((refused.execution == execution_state::not_run));
    });
    held.open();
    peers.run_until([&] { return drained; });
    BOOST_TEST(drained);
    peers.run_until(
        [&] { return std::all_of(calls.begin(), calls.end(), [](const auto& call) { return call->done; }); });
    for (const auto& call : calls) {
        BOOST_TEST(error_name(call->result) == "none");
        BOOST_TEST(call->writer.received == 1'000'000U);
    }
}

// Guards against unlimited queueing at the stream limit, and against a pool that is limited to the streams of
// one connection.
BOOST_AUTO_TEST_CASE(stream_limit_opens_a_second_connection) {
    peer_fixture peers;
    peers.server_options.max_concurrent_streams = 2;
    barrier held(peers);
    peers.gate.script = [&](const request_head&, body_reader&,
                            response_writer& writer) -> awaitable<exchange_result> {
        co_await held.wait();
        co_return co_await write_answer(writer, 1);
    };
    peers.start();
    std::vector<std::unique_ptr<background_exchange>> calls;
    calls.reserve(10);
    for (std::size_t i = 1; i <= 4; ++i) {
        calls.push_back(std::make_unique<background_exchange>(peers, 0, peers.request()));
        peers.run_until([&] { return held.waiting == i; });
    }
    BOOST_TEST(peers.pool->connections(peers.server_endpoint) == 2U);
    background_exchange fifth(peers, 0, peers.request());
    peers.run_until([&] { return fifth.done; });
    BOOST_TEST(error_name(fifth.result) == "overloaded");
    held.open();
    peers.run_until([&] { return calls[0]->done && calls[1]->done && calls[2]->done && calls[3]->done; });
    for (const auto& call : calls) {
        BOOST_TEST(error_name(call->result) == "none");
    }
}

// Guards against a server that fails on invalid HTTP/2 input, and against an effect of that input on the
// exchanges of other connections.
BOOST_AUTO_TEST_CASE(invalid_http2_input_is_isolated) {
    peer_fixture peers;
    peers.gate.script = [&](const request_head&, body_reader&, response_writer& writer) {
        return write_answer(writer, 10);
    };
    peers.start();
    const std::vector<std::string> inputs{"GET / HTTP/1.1\r\n\r\n", std::string(70'000, '\xff'),
                                          "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" + std::string(90, '\x01'),
                                          "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n" +
                                              scripted_peer::frame(4, 0, "") +
                                              scripted_peer::frame(1, 1, "\xff\xff\xff\xff"),
                                          ""};
    peers.run([&]() -> awaitable<void> {
        std::vector<boost::asio::ip::tcp::socket> open;
        for (const std::string& input : inputs) {
            auto& socket = open.emplace_back(peers.context);
            co_await socket.async_connect(
                {boost::asio::ip::make_address(peers.server_endpoint.address), peers.server_endpoint.port},
                boost::asio::use_awaitable);
            co_await boost::asio::async_write(socket, boost::asio::buffer(input),
                                              boost::asio::as_tuple(boost::asio::use_awaitable));
            pattern_body body(0);
            recording_writer writer;
            const auto result =
                co_await peers.pool->exchange(peers.server_endpoint, peers.request(), body, writer);
            BOOST_TEST(error_name(result) == "none");
        }
    });
    BOOST_TEST(peers.gate.calls == inputs.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
