#include "drivers/http/target_client.h"

#include <algorithm>
#include <utility>
#include <vector>

#include "drivers/http/asio_types.h"
#include "drivers/http/target_exchange.h"

namespace teaselpitch {

/// The idle connections, the one used last on top.
class target_client::pool final : public target_connections {
public:
    pool(net::any_io_executor executor, endpoint target, const time_source& clock_in,
         target_client_options options_in)
        : clock(clock_in),
          options(std::move(options_in)),
          executor_(std::move(executor)),
          target_(std::move(target)) {}

    net::any_io_executor executor() override { return executor_; }
    const endpoint& target() override { return target_; }
    std::unique_ptr<target_connection> take_idle(std::chrono::milliseconds longest_idle) override;
    void keep(std::unique_ptr<target_connection> connection) override;

    const time_source& clock;
    const target_client_options options;
    std::vector<std::unique_ptr<target_connection>> idle;

private:
    void drop_old();

    net::any_io_executor executor_;
    endpoint target_;
};

std::unique_ptr<target_connection> target_client::pool::take_idle(std::chrono::milliseconds longest_idle) {
    drop_old();
    const steady_time oldest = clock.now() - longest_idle;
    // The connection that was used last is on top.
    while (!idle.empty() && idle.back()->idle_since >= oldest) {
        std::unique_ptr<target_connection> connection = std::move(idle.back());
        idle.pop_back();
        if (connection->quiet()) {
            return connection;
        }
    }
    return nullptr;
}

void target_client::pool::keep(std::unique_ptr<target_connection> connection) {
    connection->idle_since = clock.now();
    drop_old();
    if (idle.size() < options.max_idle) {
        idle.push_back(std::move(connection));
    }
}

void target_client::pool::drop_old() {
    const steady_time now = clock.now();
    std::erase_if(idle, [&](const auto& connection) {
        const auto limit = std::min(options.idle_timeout, connection->idle_limit);
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
    target_exchange running(*connections, connections->clock, connections->options,
                            std::move(before_first_byte));
    co_return co_await running.run(head, body, writer);
}

std::size_t target_client::idle_connections() const {
    return pool_->idle.size();
}

void target_client::close_idle() {
    pool_->idle.clear();
}

}  // namespace teaselpitch
