#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <chrono>
#include <functional>
#include <memory>

namespace teaselpitch {

/// Runs an action when a time limit of socket operations passes. Used on one executor only.
class io_deadline {
public:
    /// The action should shut down or close the socket: cancelling a pending operation would miss the
    /// moment between two steps of a composed operation.
    io_deadline(const boost::asio::any_io_executor& executor, std::function<void()> on_expiry);
    io_deadline(const io_deadline&) = delete;
    io_deadline& operator=(const io_deadline&) = delete;
    ~io_deadline();

    /// Starts the limit anew.
    void arm(std::chrono::nanoseconds limit);

    /// Stops the limit; expired() keeps its value.
    void disarm();

    /// True when the action has run since the last arm().
    [[nodiscard]] bool expired() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

}  // namespace teaselpitch
