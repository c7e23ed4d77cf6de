#include "drivers/http/target_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "drivers/http/asio_types.h"
#include "drivers/http/target_exchange.h"

namespace teaselpitch {

/// Stack of idle connections; the most recently used one is on top.
class target_client::pool final : public target_connection_pool {
public:
    pool(net::any_io_executor executor, endpoint target, const time_source& clock_in,
         target_client_options options_in)
        : clock(clock_in),
          options(std::move(options_in)),
          executor_(std::move(executor)),
          target_(std::move(target)) {}

    net::any_io_executor executor() override { return executor_; }
    const endpoint& target() override { return target_; }
    std::unique_ptr<target_connection> acquire_idle(std::chrono::milliseconds max_idle_time) override;
    void put_idle(std::unique_ptr<target_connection> connection) override;

    const time_source& clock;
    const target_client_options options;
    std::vector<std::unique_ptr<target_connection>> idle;

private:
    void close_expired();

    net::any_io_executor executor_;
    endpoint target_;
};

std::unique_ptr<target_connection> target_client::pool::acquire_idle(
    std::chrono::milliseconds max_idle_time) {
    close_expired();
    const steady_time oldest = clock.now() - max_idle_time;
    // The most recently used connection is on top.
    while (!idle.empty() && idle.back()->idle_since >= oldest) {
        std::unique_ptr<target_connection> connection = std::move(idle.back());
        idle.pop_back();
        if (connection->is_reusable()) {
            return connection;
        }
    }
    return nullptr;
}

void target_client::pool::put_idle(std::unique_ptr<target_connection> connection) {
    connection->idle_since = clock.now();
    close_expired();
    if (idle.size() < options.max_idle_connections) {
        idle.push_back(std::move(connection));
    }
}

void target_client::pool::close_expired() {
    const steady_time now = clock.now();
    std::erase_if(idle, [&](const auto& connection) {
        const auto limit = std::min(options.idle_timeout, connection->target_idle_timeout);
        return now - connection->idle_since > limit;
    });
}

target_client::target_client(net::any_io_executor executor, endpoint target, const time_source& clock,
                             target_client_options options)
    : pool_(std::make_shared<pool>(std::move(executor), std::move(target), clock, std::move(options))) {}

target_client::~target_client() = default;

awaitable<exchange_result> target_client::exchange(const request_head& head, body_reader& body,
                                                   response_writer& writer) {
    return exchange(head, body, writer, pool_->options.before_first_byte);
}

awaitable<exchange_result> target_client::exchange(const request_head& head, body_reader& body,
                                                   response_writer& writer,
                                                   std::function<bool()> before_first_byte) {
    const std::shared_ptr<pool> connections = pool_;
    target_exchange current_exchange(*connections, connections->clock, connections->options,
                                     std::move(before_first_byte));
    co_return co_await current_exchange.run(head, body, writer);
}

std::size_t target_client::idle_connections() const {
    return pool_->idle.size();
}

void target_client::close_idle() {
    pool_->idle.clear();
}

}  // namespace teaselpitch
