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

/// Stand-in log server that runs on a separate thread until it is destroyed.
class log_server_fixture {
public:
    explicit log_server_fixture(log_retention retention = {})
        : server_(std::make_shared<standin_log_server>(context_.get_executor(), retention)),
          address_(server_->listen({"127.0.0.1", 0})),
          thread_([this] { context_.run(); }) {}

    ~log_server_fixture() {
        run_on_server([](standin_log_server& server) { server.stop(); });
        context_.stop();
        thread_.join();
    }

    log_server_fixture(const log_server_fixture&) = delete;
    log_server_fixture& operator=(const log_server_fixture&) = delete;

    [[nodiscard]] const endpoint& address() const { return address_; }

    /// Runs a function on the server's thread and waits until it returns.
    void run_on_server(const std::function<void(standin_log_server&)>& work) {
        std::promise<void> done;
        boost::asio::post(context_, [&] {
            work(*server_);
            done.set_value();
        });
        done.get_future().wait();
    }

    void set_faults(standin_log_faults faults) {
        run_on_server([faults](standin_log_server& server) { server.faults() = faults; });
    }

    /// End offset of the stream of the table.
    std::uint64_t end_offset() {
        std::uint64_t end = 0;
        run_on_server([&end](standin_log_server& server) { end = server.stream("table").end_offset(); });
        return end;
    }

private:
    boost::asio::io_context context_{1};
    std::shared_ptr<standin_log_server> server_;
    endpoint address_;
    std::thread thread_;
};

/// Runs a coroutine until it completes and returns its result.
template <typename T>
T run_until_complete(awaitable<T> work) {
    boost::asio::io_context context(1);
    auto result = boost::asio::co_spawn(context, std::move(work), boost::asio::use_future);
    context.run();
    return result.get();
}

}  // namespace teaselpitch
