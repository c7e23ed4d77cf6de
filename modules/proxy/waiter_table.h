#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/system/system_error.hpp>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <utility>

#include "servers/exchange/exchange.h"

namespace teaselpitch {

/// Lets a coroutine on one shard wait for an event that any thread may report.
template <typename Event>
class waiter_table {
    struct waiter {
        explicit waiter(const boost::asio::any_io_executor& executor)
            : timer(executor, boost::asio::steady_timer::time_point::max()) {}
        boost::asio::steady_timer timer;  ///< Used only as a signal; it never expires.
        std::optional<Event> event;       ///< Set on the waiter's own executor.
    };

public:
    /// Registers a waiter for its lifetime. Must be created before the event can be reported.
    class registration {
    public:
        registration(waiter_table& table, std::uint64_t id, boost::asio::any_io_executor executor)
            : table_(table), id_(id), waiter_(std::make_shared<waiter>(std::move(executor))) {
            const std::lock_guard lock(table_.mutex_);
            table_.waiters_.emplace(id_, waiter_);
        }
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;
        ~registration() {
            const std::lock_guard lock(table_.mutex_);
            table_.waiters_.erase(id_);
        }

        /// Completes with the event. Throws operation_aborted when the coroutine is cancelled.
        awaitable<Event> wait() {
            const std::shared_ptr<waiter> self = waiter_;
            while (!self->event) {
                boost::system::error_code ignored;
                co_await self->timer.async_wait(
                    boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
                const auto state = co_await boost::asio::this_coro::cancellation_state;
                if (state.cancelled() != boost::asio::cancellation_type::none && !self->event) {
                    throw boost::system::system_error(boost::asio::error::operation_aborted);
                }
            }
            co_return std::move(*self->event);
        }

    private:
        waiter_table& table_;
        const std::uint64_t id_;
        std::shared_ptr<waiter> waiter_;
    };

    /// Reports the event of one id; ignored when the id has no waiter. May be called from any thread.
    void notify(std::uint64_t id, Event event) {
        std::shared_ptr<waiter> found;
        {
            const std::lock_guard lock(mutex_);
            const auto entry = waiters_.find(id);
            if (entry == waiters_.end()) {
                return;
            }
            found = entry->second;
        }
        boost::asio::post(found->timer.get_executor(), [found, event = std::move(event)]() mutable {
            found->event = std::move(event);
            found->timer.cancel();
        });
    }

private:
    std::mutex mutex_;
    std::unordered_map<std::uint64_t, std::shared_ptr<waiter>> waiters_;
};

}  // namespace teaselpitch
