#include "drivers/threads/cross_thread_call.h"

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <exception>
#include <optional>
#include <string>

namespace teaselpitch {
namespace {

namespace asio = boost::asio;

/// Waits until the timer is cancelled, and tells how the wait ended.
asio::awaitable<std::string> wait_for(asio::steady_timer& finished, asio::cancellation_type& seen) {
    boost::system::error_code error;
    co_await finished.async_wait(asio::redirect_error(asio::use_awaitable, error));
    seen = (co_await asio::this_coro::cancellation_state).cancelled();
    co_return "done";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(calls_between_threads)

// Guards against a cancellation that crosses to the thread of a call which may have ended: Asio then uses
// freed memory, and the process ends. Both contexts run on this thread, so that the order of events is fixed.
BOOST_AUTO_TEST_CASE(cancellation_stays_on_the_thread_of_the_caller) {
    asio::io_context own;
    asio::io_context other;
    asio::steady_timer finished(other, asio::steady_timer::time_point::max());
    asio::cancellation_type seen = asio::cancellation_type::none;
    asio::cancellation_signal cancel;
    std::optional<std::string> result;
    bool cancelled_after_call = false;
    const auto caller = [&]() -> asio::awaitable<void> {
        result =
            co_await call_on_thread(asio::any_io_executor(other.get_executor()), wait_for(finished, seen));
        // The caller can be cancelled again.
        asio::steady_timer forever(own, asio::steady_timer::time_point::max());
        boost::system::error_code error;
        co_await forever.async_wait(asio::redirect_error(asio::use_awaitable, error));
        cancelled_after_call = error == asio::error::operation_aborted;
    };
    asio::co_spawn(own, caller(),
                   asio::bind_cancellation_slot(cancel.slot(), [](const std::exception_ptr&) {}));
    own.poll();
    other.restart();
    other.poll();
    cancel.emit(asio::cancellation_type::terminal);
    other.restart();
    BOOST_TEST(other.poll() == 0U);
    own.restart();
    own.poll();
    BOOST_TEST(!result.has_value());
    finished.cancel();
    other.restart();
    other.poll();
    own.restart();
    own.poll();
    BOOST_TEST_REQUIRE(result.has_value());
    BOOST_TEST(*result == "done");
    BOOST_TEST((seen == asio::cancellation_type::none));
    cancel.emit(asio::cancellation_type::terminal);
    own.restart();
    own.poll();
    BOOST_TEST(cancelled_after_call);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
