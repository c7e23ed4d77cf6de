#include "drivers/peer/datagram_socket.h"

#include <string>

#include "tests/drivers/peer/peer_fixture.h"

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(datagrams)

// Guards against datagrams that are truncated or accepted above the size limit, and against a call of the
// handler after stop().
BOOST_AUTO_TEST_CASE(round_trip) {
    peer_fixture peers;
    std::vector<std::string> seen;
    endpoint from;
    datagram_socket receiver(peers.context.get_executor(), {"127.0.0.1", 0},
                             [&](const endpoint& source, std::span<const std::byte> payload) {
                                 from = source;
                                 seen.emplace_back(reinterpret_cast<const char*>(payload.data()),
                                                   payload.size());
                             });
    datagram_socket sender(peers.context.get_executor(), {"127.0.0.1", 0}, [](const auto&, auto) {});
    const endpoint to = receiver.start().value();
    const endpoint source = sender.start().value();
    const std::string full(max_datagram_bytes, 'f');
    const std::string oversized(max_datagram_bytes + 1, 'o');
    BOOST_TEST(sender.send(to, std::as_bytes(std::span(full))).ok());
    BOOST_TEST(!sender.send(to, std::as_bytes(std::span(oversized))).ok());
    BOOST_TEST(!sender.send({"example.org", 1}, std::as_bytes(std::span(full))).ok());
    BOOST_TEST(sender.send(to, {}).ok());
    peers.run_until([&] { return seen.size() == 2; });
    BOOST_REQUIRE(seen.size() == 2U);
    BOOST_TEST(seen[0] == full);
    BOOST_TEST(seen[1].empty());
    BOOST_TEST((from == source));
    receiver.stop();
    (void)sender.send(to, std::as_bytes(std::span(full)));
    peers.context.run_for(std::chrono::milliseconds(20));
    BOOST_TEST(seen.size() == 2U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
