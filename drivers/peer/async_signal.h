#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace teaselpitch {

/// Condition variable for the coroutines of one executor. A waiter checks its condition in a loop, because
/// several conditions can share one signal.
class async_signal {
public:
    explicit async_signal(const boost::asio::any_io_executor& executor)
        : timer_(executor, boost::asio::steady_timer::time_point::max()) {}

    /// Completes at the next notify(); throws when the coroutine is cancelled.
    [[nodiscard]] boost::asio::awaitable<void> wait() {
        co_await timer_.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }

    /// Resumes every waiter. The waiters are scheduled on the executor and never run inside this call.
    void notify() { timer_.cancel(); }

private:
    boost::asio::steady_timer timer_;
};

}  // namespace teaselpitch
