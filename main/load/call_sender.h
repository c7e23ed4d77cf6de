#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <vector>

#include "main/load/answer_check.h"

namespace teaselpitch {

/// Sends requests over kept connections; used on one executor. A refused connection moves the send to the
/// next caller listener, because nothing was sent.
class call_sender {
public:
    call_sender(boost::asio::any_io_executor executor, const load_options& options);
    call_sender(const call_sender&) = delete;
    call_sender& operator=(const call_sender&) = delete;
    ~call_sender();

    /// Sends one request; the record's times are filled, its start is the scheduled moment.
    awaitable<call_record> send(planned_send planned, history_time scheduled);

private:
    struct connection;

    awaitable<std::unique_ptr<connection>> connect(std::size_t caller, steady_time deadline);

    boost::asio::any_io_executor executor_;
    const load_options& options_;
    std::vector<std::vector<std::unique_ptr<connection>>> idle_;  // By the index of the listener.
};

/// Microseconds of the machine's monotonic clock.
history_time monotonic_now();

}  // namespace teaselpitch
