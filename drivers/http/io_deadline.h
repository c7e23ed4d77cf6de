#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace teaselpitch {

/// Runs an action when the time limit of socket operations expires. Must be used on one executor only.
class io_deadline {
public:
    /// The action should shut down or close the socket. Cancelling the pending operation would have no effect
    /// between two steps of a composed operation.
    io_deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expiry);
    io_deadline(const io_deadline&) = delete;
    io_deadline& operator=(const io_deadline&) = delete;
    ~io_deadline();

    /// Starts or restarts the timer.
    void arm(std::chrono::nanoseconds limit);

    /// Stops the timer; expired() keeps its value.
    void disarm();

    /// True when the action has run since the last arm().
    [[nodiscard]] bool expired() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
