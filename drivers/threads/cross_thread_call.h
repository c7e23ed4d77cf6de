#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/cancellation_state.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <utility>

namespace teaselpitch {

/// Runs a task on the executor of another thread and returns its result to the thread of the caller.
///
/// The task is not cancelled with the caller: co_spawn of Boost 1.81 passes a cancellation on to the other
/// thread with a pointer that it does not keep alive, so that a task which ends at the same time corrupts
/// memory. A cancelled caller continues when the task has ended.
template <typename T>
boost::asio::awaitable<T> call_on_thread(boost::asio::any_io_executor executor,
                                         boost::asio::awaitable<T> task) {
    co_await boost::asio::this_coro::reset_cancellation_state(boost::asio::disable_cancellation());
    T result = co_await boost::asio::co_spawn(executor, std::move(task), boost::asio::use_awaitable);
    co_await boost::asio::this_coro::reset_cancellation_state(boost::asio::enable_terminal_cancellation());
    co_return result;
}

}  // namespace teaselpitch
