#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>

#include "tests/drivers/http/fake_target.h"

namespace teaselpitch::testing {
namespace {

std::string format_request(std::size_t number, const std::string& body, bool sized) {
    const std::string start = "POST /" + std::to_string(number) + " HTTP/1.1\r\nHost: a\r\n";
    if (sized) {
        return start + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
    std::string text = start + "Transfer-Encoding: chunked\r\n\r\n";
    for (const char c : body) {
        text += std::string("1\r\n") + c + "\r\n";
    }
    return text + "0\r\n\r\n";
}

awaitable<void> exchange_pieces(const endpoint& address, const std::string& text, std::size_t step,
                                const std::vector<std::string>& bodies, bool& equal) {
    raw_connection caller(co_await net::this_coro::executor);
    co_await caller.connect(address);
    caller.socket.set_option(tcp::no_delay(true));
    for (std::size_t sent = 0; sent < text.size(); sent += step) {
        co_await caller.send(std::string_view(text).substr(sent, step));
    }
    for (std::size_t i = 0; i < bodies.size(); ++i) {
        const auto answer = co_await caller.read_answer();
        equal = equal && answer.body() == "POST /" + std::to_string(i) + " " + bodies[i];
    }
}

// Guards against answers that depend on where the network splits a sequence of pipelined requests.
BOOST_AUTO_TEST_CASE(answers_do_not_depend_on_the_split) {
    ::setenv("RC_PARAMS", "seed=20261204 max_success=100 verbose_progress=0", 0);
    const bool passed = rc::check([](const std::vector<std::string>& bodies, const std::vector<bool>& sized) {
        const auto step = *rc::gen::inRange<std::size_t>(1, 40);
        std::string text;
        for (std::size_t i = 0; i < bodies.size(); ++i) {
            text += format_request(i, bodies[i], i < sized.size() && sized[i]);
        }
        server_fixture fixture(echo);
        bool equal = true;
        run_on(fixture.context, exchange_pieces(fixture.address, text, step, bodies, equal));
        RC_ASSERT(equal);
        RC_ASSERT(fixture.handler.calls == static_cast<int>(bodies.size()));
    });
    BOOST_TEST(passed);
}

}  // namespace
}  // namespace teaselpitch::testing
