#include "drivers/http/listen_probe.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

#include "tests/drivers/http/http_fixture.h"

namespace teaselpitch::testing {

using namespace std::chrono_literals;

// Guards against a crashed target that counts as alive, and a live one that counts as crashed because it has
// closed a connection.
BOOST_AUTO_TEST_CASE(only_a_listener_accepts_connections) {
    net::io_context context(1);
    tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
    const endpoint address{"127.0.0.1", acceptor.local_endpoint().port()};
    const net::any_io_executor executor = context.get_executor();
    run_on(context, [&]() -> awaitable<void> {
        const bool listening = co_await accepts_connections(executor, address, 1s);
        BOOST_TEST(listening);
        acceptor.close();
        const bool closed = co_await accepts_connections(executor, address, 1s);
        BOOST_TEST(!closed);
    }());
}

}  // namespace teaselpitch::testing
