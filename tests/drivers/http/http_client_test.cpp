#include "drivers/http/http_client.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <vector>

#include "tests/drivers/http/http_fixture.h"

namespace teaselpitch::testing {
namespace {

/// Listener that accepts no connections. Once its queue is full, new SYNs are dropped, as in a network
/// partition.
struct full_listener {
    explicit full_listener(net::io_context& context) : acceptor(context, tcp::endpoint(tcp::v4(), 0)) {
        acceptor.listen(0);
        for (int i = 0; i < 4; ++i) {
            queued.emplace_back(context);
            queued.back().async_connect(address(), [](const error_code&) {});
        }
    }

    [[nodiscard]] tcp::endpoint address() const {
        return {net::ip::make_address("127.0.0.1"), acceptor.local_endpoint().port()};
    }

    tcp::acceptor acceptor;
    std::vector<tcp::socket> queued;
};

}  // namespace

// Guards against a long read that starts during a network partition and waits in its connection setup for as
// long as the reply may take, although the partition has ended.
BOOST_AUTO_TEST_CASE(connection_fails_before_a_long_call_times_out) {
    constexpr std::chrono::seconds call_time{60};
    net::io_context context{1};
    full_listener silent(context);
    run_on(context, [&]() -> awaitable<void> {
        http_request request;
        request.connect_timeout = std::chrono::milliseconds(100);
        const endpoint address{"127.0.0.1", silent.address().port()};
        const auto start = std::chrono::steady_clock::now();
        const auto reply = co_await send_http_request(context.get_executor(), address, request, call_time);
        BOOST_TEST(absl::IsDeadlineExceeded(reply.status()));
        BOOST_TEST((std::chrono::steady_clock::now() - start < call_time / 2));
    }());
}

}  // namespace teaselpitch::testing
