#include "drivers/http/caller_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <utility>

#include "drivers/http/asio_types.h"
#include "drivers/http/caller_connection.h"

namespace teaselpitch {

struct caller_server::state : std::enable_shared_from_this<caller_server::state> {
    state(net::any_io_executor executor_in, caller_server_options options, exchange_handler& handler,
          const time_source& clock, std::function<std::string()> new_request_id)
        : executor(std::move(executor_in)),
          context(std::make_shared<caller_context>(std::move(options), handler, clock,
                                                   std::move(new_request_id))),
          all_closed(executor, net::steady_timer::time_point::max()) {}

    awaitable<void> accept_loop();
    void start_connection(tcp::socket socket, const tcp::endpoint& peer);
    void stop_accepting();
    static awaitable<void> watch_memory(std::weak_ptr<state> weak, net::any_io_executor executor);
    bool make_room();

    net::any_io_executor executor;
    std::shared_ptr<caller_context> context;
    std::optional<tcp::acceptor> acceptor;
    net::steady_timer all_closed;  // Cancelled when the last connection closes.
};

awaitable<void> caller_server::state::accept_loop() {
    constexpr std::chrono::milliseconds accept_retry_delay{20};
    const auto self = shared_from_this();
    while (acceptor.has_value()) {
        net::steady_timer timer(executor);
        if (context->connections.size() >= context->options.max_connections) {
            timer.expires_after(accept_retry_delay);
            co_await timer.async_wait(tuple_awaitable);
            continue;
        }
        tcp::endpoint peer;
        auto [error, socket] = co_await acceptor->async_accept(peer, tuple_awaitable);
        if (!acceptor.has_value()) {
            co_return;
        }
        if (error) {
            // The usual cause is a lack of file descriptors; retrying immediately would be a busy loop.
            timer.expires_after(accept_retry_delay);
            co_await timer.async_wait(tuple_awaitable);
            continue;
        }
        start_connection(std::move(socket), peer);
    }
}

// Closes the connections that the memory budget chooses.
awaitable<void> caller_server::state::watch_memory(std::weak_ptr<state> weak, net::any_io_executor executor) {
    constexpr std::chrono::milliseconds interval{50};
    net::steady_timer timer(executor);
    while (true) {
        timer.expires_after(interval);
        co_await timer.async_wait(tuple_awaitable);
        const auto self = weak.lock();
        if (!self) {
            co_return;
        }
        const auto open = self->context->connections;
        while (const auto victim = self->context->options.memory->take_victim(self->context.get())) {
            for (const auto& connection : open) {
                if (connection->account_id() == *victim) {
                    connection->end_for_memory();
                }
            }
        }
    }
}

// Closes the connection that has been idle for longest; false when none is idle.
bool caller_server::state::make_room() {
    std::shared_ptr<caller_connection> longest;
    for (const auto& connection : context->connections) {
        if (connection->is_idle() && (!longest || connection->idle_since() < longest->idle_since())) {
            longest = connection;
        }
    }
    if (longest) {
        longest->close();
    }
    return longest != nullptr;
}

void caller_server::state::start_connection(tcp::socket socket, const tcp::endpoint& peer) {
    error_code ignored;
    connection_share* share = context->options.connections;
    if (share != nullptr && !share->open()) {
        if (context->options.memory != nullptr) {
            context->options.memory->count(memory_action::connection_closed);
        }
        if (!make_room()) {
            share->close();
            return;
        }
    }
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    const auto connection = std::make_shared<caller_connection>(std::move(socket), peer, context);
    context->connections.insert(connection);
    net::co_spawn(executor, connection->run(),
                  [self = shared_from_this(), connection](const std::exception_ptr&) {
                      connection->close();
                      self->context->connections.erase(connection);
                      if (self->context->options.connections != nullptr) {
                          self->context->options.connections->close();
                      }
                      if (self->context->connections.empty()) {
                          self->all_closed.cancel();
                      }
                  });
}

void caller_server::state::stop_accepting() {
    if (!acceptor.has_value()) {
        return;
    }
    error_code error;
    acceptor->cancel(error);
    acceptor->non_blocking(true, error);
    // Closing the listener would reset the connections that are still in its accept queue.
    while (!error) {
        tcp::socket socket(executor);
        tcp::endpoint peer;
        acceptor->accept(socket, peer, error);
        if (!error) {
            start_connection(std::move(socket), peer);
        }
    }
    acceptor.reset();
}

caller_server::caller_server(net::any_io_executor executor, caller_server_options options,
                             exchange_handler& handler, const time_source& clock,
                             std::function<std::string()> new_request_id)
    : state_(std::make_shared<state>(std::move(executor), std::move(options), handler, clock,
                                     std::move(new_request_id))) {}

caller_server::~caller_server() {
    state_->acceptor.reset();
    const auto open = state_->context->connections;
    for (const auto& connection : open) {
        connection->reset();
    }
}

absl::StatusOr<endpoint> caller_server::start() {
    const caller_server_options& options = state_->context->options;
    absl::StatusOr<tcp::acceptor> acceptor =
        open_acceptor(state_->executor, options.listen, options.reuse_port);
    if (!acceptor.ok()) {
        return acceptor.status();
    }
    set_buffer_sizes(*acceptor, options.socket_buffer_bytes);
    const endpoint bound{options.listen.address, acceptor->local_endpoint().port()};
    state_->acceptor.emplace(*std::move(acceptor));
    net::co_spawn(state_->executor, state_->accept_loop(), net::detached);
    if (options.memory != nullptr) {
        net::co_spawn(state_->executor, state::watch_memory(state_, state_->executor), net::detached);
    }
    return bound;
}

void caller_server::stop_accepting() {
    state_->stop_accepting();
}

void caller_server::set_limits(const caller_limits& limits) {
    state_->context->options.limits = limits;
}

std::size_t caller_server::open_exchanges() const {
    return state_->context->open_exchanges.load();
}

void caller_server::terminate_exchanges() {
    const auto open = state_->context->connections;
    for (const auto& connection : open) {
        connection->terminate_exchanges();
    }
}

awaitable<void> caller_server::drain() {
    const auto state = state_;
    state->stop_accepting();
    state->context->draining = true;
    const auto open = state->context->connections;
    for (const auto& connection : open) {
        connection->begin_drain();
    }
    while (!state->context->connections.empty()) {
        co_await state->all_closed.async_wait(tuple_awaitable);
    }
}

}  // namespace teaselpitch
