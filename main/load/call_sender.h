#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <memory>
#include <vector>

#include "main/load/answer_check.h"

namespace teaselpitch {

/// Sends requests over persistent connections. Not thread-safe: use it on one executor only. If a listener
/// refuses the connection, the request goes to the next caller listener, which is safe because no byte of it
/// was sent.
class call_sender {
public:
    call_sender(boost::asio::any_io_executor executor, const load_options& options);
    call_sender(const call_sender&) = delete;
    call_sender& operator=(const call_sender&) = delete;
    ~call_sender();

    /// Sends one request and returns its record. The start time is the scheduled time rather than the time of
    /// the write, so latencies include any delay of the load generator.
    awaitable<call_record> send(planned_request planned, history_time scheduled);

private:
    struct connection;

    awaitable<std::unique_ptr<connection>> acquire_connection(std::size_t caller, steady_time deadline);

    boost::asio::any_io_executor executor_;
    const load_options& options_;
    std::vector<std::vector<std::unique_ptr<connection>>> idle_connections_;  // Indexed by caller listener.
};

/// Returns the time of the machine's monotonic clock in microseconds.
history_time monotonic_now();

}  // namespace teaselpitch
