#pragma once

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <functional>
#include <future>
#include <memory>
#include <thread>
#include <utility>

#include "main/standin_log/standin_log_server.h"

namespace teaselpitch {

/// A stand-in log that runs on a thread of its own until it goes out of scope.
class running_log {
public:
    explicit running_log(log_retention retention = {})
        : server_(std::make_shared<standin_log_server>(context_.get_executor(), retention)),
          address_(server_->listen({"127.0.0.1", 0})),
          thread_([this] { context_.run(); }) {}

    ~running_log() {
        with([](standin_log_server& server) { server.stop(); });
        context_.stop();
        thread_.join();
    }

    running_log(const running_log&) = delete;
    running_log& operator=(const running_log&) = delete;

    [[nodiscard]] const endpoint& address() const { return address_; }

    /// Runs a function on the server's thread and waits for it.
    void with(const std::function<void(standin_log_server&)>& work) {
        std::promise<void> done;
        boost::asio::post(context_, [&] {
            work(*server_);
            done.set_value();
        });
        done.get_future().wait();
    }

    void set_faults(standin_log_faults faults) {
        with([faults](standin_log_server& server) { server.faults() = faults; });
    }

    /// End of the stream that holds the table.
    std::uint64_t end_offset() {
        std::uint64_t end = 0;
        with([&end](standin_log_server& server) { end = server.stream("table").end_offset(); });
        return end;
    }

private:
    boost::asio::io_context context_{1};
    std::shared_ptr<standin_log_server> server_;
    endpoint address_;
    std::thread thread_;
};

/// Runs a coroutine to its end and returns its result.
template <typename T>
T run_to_end(awaitable<T> work) {
    boost::asio::io_context context(1);
    auto result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
    context.run();
    return result.get();
}

}  // namespace teaselpitch
