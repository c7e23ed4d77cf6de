#pragma once

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <memory>
#include <thread>
#include <vector>

namespace teaselpitch {

/// Group of threads, each of which runs a single-threaded io_context (a shard). All work of one exchange runs
/// on one shard.
class shard_group {
public:
    explicit shard_group(std::size_t count);
    shard_group(const shard_group&) = delete;
    shard_group& operator=(const shard_group&) = delete;
    ~shard_group();

    [[nodiscard]] std::size_t size() const { return contexts_.size(); }
    [[nodiscard]] boost::asio::io_context& context(std::size_t index) { return *contexts_[index]; }

    void start();

    /// Stops the contexts and joins the threads; pending handlers are not run.
    void stop();

private:
    using work_guard = boost::asio::executor_work_guard<boost::asio::io_context::executor_type>;

    std::vector<std::unique_ptr<boost::asio::io_context>> contexts_;
    std::vector<work_guard> work_guards_;
    std::vector<std::thread> threads_;
};

}  // namespace teaselpitch
