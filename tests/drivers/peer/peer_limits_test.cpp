#include <boost/asio/ip/tcp.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <ostream>

#include "tests/drivers/peer/peer_fixture.h"

namespace teaselpitch {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

namespace {

struct payload_case {
    const char* name;
    std::size_t bytes;
    bool accepted;
};

std::ostream& operator<<(std::ostream& out, const payload_case& value) {
    return out << value.name;
}

constexpr std::size_t capacity_bytes = 400'000;

const std::vector<payload_case> payload_cases{
    {"empty payload", 0, true},
    {"payload that fits", 250'000, true},
    {"payload above three quarters of the memory", 350'000, false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(peer_limits)

// Guards against control calls that take more memory than the machine has, and against memory that is not
// given back.
BOOST_DATA_TEST_CASE(control_payloads_are_charged, boost::unit_test::data::make(payload_cases), row) {
    const payload_case expected = row;
    peer_fixture peers;
    memory_budget memory(peers.clock, {.capacity_bytes = capacity_bytes});
    std::size_t limits_met = 0;
    peers.server_options.memory = &memory;
    peers.server_options.limit_met = [&](peer_limit limit) { limits_met += limit == peer_limit::memory; };
    peers.start();
    for (int repeat = 0; repeat < 3; ++repeat) {
        peers.run([&]() -> awaitable<void> {
            const std::string payload(expected.bytes, 'p');
            const auto reply = co_await peers.pool->call(peers.server_endpoint, "echo", payload, 5s);
            BOOST_TEST(reply.ok() == expected.accepted);
        });
    }
    BOOST_TEST(limits_met == (expected.accepted ? 0U : 3U));
    peers.run_until([&] { return memory.held_bytes() == 0; });
    BOOST_TEST(memory.held_bytes() == 0U);
}

// Guards against connections without a word that keep other nodes out.
BOOST_AUTO_TEST_CASE(new_peer_replaces_a_silent_one) {
    peer_fixture peers;
    peers.server_options.max_connections = 1;
    peers.start();
    peers.gate.script = [](const request_head&, body_reader&,
                           response_writer&) -> awaitable<exchange_result> {
        co_return failed_exchange(error_kind::no_target, "the test has no target");
    };
    peers.run([&]() -> awaitable<void> {
        tcp::socket silent(peers.context);
        const tcp::endpoint address(boost::asio::ip::make_address(peers.server_endpoint.address),
                                    peers.server_endpoint.port);
        co_await silent.async_connect(address, boost::asio::use_awaitable);
        co_await peers.sleep(20ms);
        pattern_body body(0);
        recording_writer writer;
        const request_head head = peers.request();
        const exchange_result result =
            co_await peers.pool->exchange(peers.server_endpoint, head, body, writer);
        BOOST_TEST(error_name(result) == "no_target");
    });
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
