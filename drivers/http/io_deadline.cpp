#include "drivers/http/io_deadline.h"

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <utility>

namespace teaselpitch {

struct io_deadline::state {
    state(const boost::asio::any_io_executor& executor, std::function<void()> action)
        : timer(executor), on_expiry(std::move(action)) {}

    boost::asio::steady_timer timer;
    std::function<void()> on_expiry;
    std::uint64_t generation =
        0;  // Distinguishes the current wait from cancelled waits whose handlers are already queued.
    bool expired = false;
};

io_deadline::io_deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expiry)
    : state_(std::make_shared<state>(executor, std::move(on_expiry))) {}

io_deadline::~io_deadline() {
    disarm();
}

void io_deadline::arm(std::chrono::nanoseconds limit) {
    const std::uint64_t generation = ++state_->generation;
    state_->expired = false;
    state_->timer.expires_after(limit);
    state_->timer.async_wait([state = state_, generation](boost::system::error_code error) {
        if (!error && state->generation == generation) {
            state->expired = true;
            state->on_expiry();
        }
    });
}

void io_deadline::disarm() {
    ++state_->generation;
    state_->timer.cancel();
}

bool io_deadline::expired() const {
    return state_->expired;
}

}  // namespace teaselpitch
