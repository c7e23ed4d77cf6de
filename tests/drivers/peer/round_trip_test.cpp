#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>

#include "tests/drivers/peer/peer_fixture.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(peer_round_trip)

const std::vector<std::size_t> sizes{0, 1, 65'536, 10'000'000};

// Guards against lost, duplicated or reordered bytes in either direction, for bodies up to and above the
// window sizes.
BOOST_DATA_TEST_CASE(bodies_arrive_complete, boost::unit_test::data::make(sizes), size) {
    peer_fixture peers;
    peers.gate.script = [&](const request_head&, body_reader& body,
                            response_writer& writer) -> awaitable<exchange_result> {
        BOOST_TEST((co_await read_whole_body(body)) == size);
        co_return co_await write_answer(writer, size);
    };
    peers.start();
    peers.run([&]() -> awaitable<void> {
        pattern_body body(size);
        recording_writer writer;
        const auto result =
            co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
        BOOST_TEST(error_name(result) == "none");
        BOOST_TEST(result.head_written);
        BOOST_TEST(writer.finished);
        BOOST_TEST(!writer.aborted);
        BOOST_TEST(writer.correct);
        BOOST_TEST(writer.received == size);
    });
}

// Guards against a field of a head that is lost or changed by encoding and transfer.
BOOST_AUTO_TEST_CASE(heads_arrive_unchanged) {
    peer_fixture peers;
    request_head seen;
    peers.gate.script = [&](const request_head& head, body_reader&,
                            response_writer& writer) -> awaitable<exchange_result> {
        seen = head;
        co_return co_await write_answer(writer, 3);
    };
    peers.start();
    const request_head sent = peers.request();
    recording_writer writer;
    exchange_result result;
    peers.run([&]() -> awaitable<void> {
        pattern_body body(0);
        result = co_await peers.pool->exchange(peers.server_endpoint, sent, body, writer);
    });
    BOOST_TEST(seen.method == sent.method);
    BOOST_TEST(seen.path == sent.path);
    BOOST_TEST(seen.host == sent.host);
    BOOST_TEST(seen.headers.size() == 2U);
    BOOST_TEST(seen.headers.at(1).value == sent.headers.at(1).value);
    BOOST_TEST(!seen.content_length.has_value());
    BOOST_TEST(seen.idempotency_key == sent.idempotency_key);
    BOOST_TEST(seen.first_send);
    BOOST_TEST(!seen.non_idempotent);
    BOOST_TEST((seen.target == sent.target));
    BOOST_TEST(seen.detours == 1U);
    // Both sides use the same clock here, so the deadline may move only by the transfer time.
    BOOST_TEST((seen.deadline >= sent.deadline - std::chrono::milliseconds(1)));
    BOOST_TEST((seen.deadline < sent.deadline + std::chrono::seconds(5)));
    BOOST_REQUIRE(writer.head.has_value());
    BOOST_TEST(writer.head->status == 201U);
    BOOST_TEST(writer.head->reason == "Created");
    BOOST_TEST(writer.head->target == "t1");
    BOOST_REQUIRE(result.load.has_value());
    BOOST_TEST(result.load->running == 2U);
    BOOST_TEST(result.load->outlier_score == 0.5);
}

const std::vector<std::string> refusals{"overloaded", "target_leaving", "quarantined", "key_in_doubt",
                                        "deadline_expired"};

// Guards against a refusal that consumes the body or uses the writer, after which the ingress could not try
// another gate.
BOOST_DATA_TEST_CASE(refusal_leaves_everything_untouched, boost::unit_test::data::make(refusals), name) {
    const error_kind kind = parse_error_kind(name).value();
    peer_fixture peers;
    peers.gate.script = [&](const request_head&, body_reader& body,
                            response_writer& writer) -> awaitable<exchange_result> {
        if (peers.gate.calls == 1) {
            exchange_result refused = failed_exchange(kind, "refused");
            refused.retry_after = std::chrono::milliseconds(1234);
            refused.load = load_report{"t1", 4, 4, 9, 0, true};
            co_return refused;
        }
        BOOST_TEST((co_await read_whole_body(body)) == 500'000U);
        co_return co_await write_answer(writer, 10);
    };
    peers.start();
    peers.run([&]() -> awaitable<void> {
        pattern_body body(500'000);
        recording_writer writer;
        const auto refused =
            co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
        BOOST_TEST(error_name(refused) == name);
        BOOST_TEST((refused.execution == get_error_answer(kind).execution));
        BOOST_TEST((refused.retry_after == std::chrono::milliseconds(1234)));
        BOOST_TEST(refused.detail == "refused");
        BOOST_TEST(refused.load.value_or(load_report{}).leaving);
        BOOST_TEST(!refused.head_written);
        BOOST_TEST(writer.untouched());
        BOOST_TEST(body.reads == 0U);
        const auto answered =
            co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
        BOOST_TEST(error_name(answered) == "none");
        BOOST_TEST(writer.received == 10U);
    });
    BOOST_TEST(peers.pool->connections(peers.server_endpoint) == 1U);
}

// Guards against an exchange that hangs or loses its connection when the gate answers before the end of the
// request body.
BOOST_AUTO_TEST_CASE(answer_before_the_body_ends) {
    peer_fixture peers;
    peers.gate.script = [&](const request_head&, body_reader& body,
                            response_writer& writer) -> awaitable<exchange_result> {
        std::vector<std::byte> buffer(100);
        BOOST_TEST((co_await body.read_some(buffer)).value() == 100U);
        co_return co_await write_answer(writer, 70'000);
    };
    peers.start();
    peers.run([&]() -> awaitable<void> {
        for (int i = 0; i < 3; ++i) {
            pattern_body body(5'000'000);
            recording_writer writer;
            const auto result =
                co_await peers.pool->exchange(peers.server_endpoint, peers.request(true), body, writer);
            BOOST_TEST(error_name(result) == "none");
            BOOST_TEST(writer.received == 70'000U);
            BOOST_TEST(body.position < 5'000'000U);
        }
    });
    BOOST_TEST(peers.pool->connections(peers.server_endpoint) == 1U);
}

// Guards against control calls that lose bytes or the status sent by the peer.
BOOST_AUTO_TEST_CASE(control_calls) {
    peer_fixture peers;
    peers.start();
    peers.run([&]() -> awaitable<void> {
        const auto timeout = std::chrono::seconds(10);
        const std::string large(1'000'000, 'x');
        BOOST_TEST((co_await peers.pool->call(peers.server_endpoint, "echo", "abc", timeout)).value() ==
                   "echo:abc");
        BOOST_TEST((co_await peers.pool->call(peers.server_endpoint, "echo", "", timeout)).value() ==
                   "echo:");
        BOOST_TEST((co_await peers.pool->call(peers.server_endpoint, "echo", large, timeout)).value() ==
                   "echo:" + large);
        const auto failed = co_await peers.pool->call(peers.server_endpoint, "fail", "abc", timeout);
        BOOST_TEST((failed.status() == absl::NotFoundError("no such method")));
        const std::string oversized(5'000'000, 'x');
        const auto refused = co_await peers.pool->call(peers.server_endpoint, "echo", oversized, timeout);
        BOOST_TEST((refused.status().code() == absl::StatusCode::kResourceExhausted));
    });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
