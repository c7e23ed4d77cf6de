#include "drivers/threads/shard_group.h"

#include <exception>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

// An exception ends only the handler or coroutine that threw it; the shard continues to run.
void run_shard(boost::asio::io_context& context) {
    while (!context.stopped()) {
        try {
            context.run();
        } catch (const std::exception& error) {
            log_event(event_level::error, "shard_exception", {{"reason", error.what()}});
        }
    }
}

}  // namespace

shard_group::shard_group(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
        contexts_.push_back(std::make_unique<boost::asio::io_context>(1));
        work_guards_.emplace_back(contexts_.back()->get_executor());
    }
}

shard_group::~shard_group() {
    stop();
}

void shard_group::start() {
    for (const auto& context : contexts_) {
        threads_.emplace_back([shard = context.get()] { run_shard(*shard); });
    }
}

void shard_group::stop() {
    for (const auto& context : contexts_) {
        context->stop();
    }
    for (std::thread& thread : threads_) {
        thread.join();
    }
    threads_.clear();
}

}  // namespace teaselpitch
