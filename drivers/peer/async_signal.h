#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselpitch {

/// Wakes the coroutines of one executor that wait for a condition. A waiter checks its condition in a loop,
/// because one signal may stand for several conditions.
class async_signal {
public:
    explicit async_signal(const boost::asio::any_io_executor& executor)
        : timer_(executor, boost::asio::steady_timer::time_point::max()) {}

    /// Returns after the next notify(), or throws when the coroutine is cancelled.
    [[nodiscard]] boost::asio::awaitable<void> wait() {
        co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    /// Wakes every waiter; the waiters run later, never inside this call.
    void notify() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
};

}  // namespace teaselpitch
