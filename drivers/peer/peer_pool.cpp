#include "drivers/peer/peer_pool.h"

#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <map>
#include <utility>
#include <vector>

#include "drivers/peer/client_stream.h"
#include "drivers/peer/h2_session.h"
#include "drivers/peer/head_codec.h"

namespace teaselpitch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using namespace std::chrono_literals;

constexpr std::size_t control_read_bytes = 16'384;

absl::StatusOr<tcp::endpoint> to_tcp_endpoint(const endpoint& peer) {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(peer.address, error);
    if (error) {
        return absl::InvalidArgumentError("peer address is not an IP address: " + peer.address);
    }
    return tcp::endpoint(address, peer.port);
}

/// Result of an exchange for which no connection was available.
exchange_result not_sent_result(const absl::Status& status) {
    error_kind kind = error_kind::peer_unreachable;
    if (absl::IsResourceExhausted(status)) {
        kind = error_kind::overloaded;
    } else if (absl::IsDeadlineExceeded(status)) {
        kind = error_kind::deadline_expired;
    } else if (absl::IsCancelled(status)) {
        kind = error_kind::cancelled;
    }
    exchange_result result = failed_exchange(kind, status_message(status));
    result.execution = execution_state::not_run;
    return result;
}

}  // namespace

class peer_pool::state : public std::enable_shared_from_this<peer_pool::state> {
public:
    state(asio::any_io_executor executor, const time_source& clock, peer_pool_options options)
        : executor_(std::move(executor)), clock_(clock), options_(std::move(options)) {}

    awaitable<exchange_result> exchange(const endpoint& peer, const request_head& head, body_reader& body,
                                        response_writer& writer);
    awaitable<absl::StatusOr<std::string>> call(const endpoint& peer, std::string method, std::string payload,
                                                std::chrono::milliseconds timeout);
    void close();
    [[nodiscard]] std::size_t connections(const endpoint& peer) const;

private:
    /// One attempt to connect, shared by all exchanges that wait for it.
    struct connect_attempt {
        explicit connect_attempt(const asio::any_io_executor& executor) : done(executor) {}
        async_signal done;
        bool finished = false;
        absl::Status status;
    };
    struct peer_connections {
        std::vector<std::shared_ptr<h2_session>> sessions;
        std::shared_ptr<connect_attempt> connecting;
    };

    using session_or_error = absl::StatusOr<std::shared_ptr<h2_session>>;

    /// Returns a usable session; opens or verifies one if necessary. DEADLINE_EXCEEDED: not within the limit.
    awaitable<session_or_error> acquire_session(endpoint peer, std::chrono::nanoseconds limit);
    awaitable<session_or_error> open_or_await_session(endpoint peer);
    std::shared_ptr<h2_session> find_usable(const endpoint& peer);
    [[nodiscard]] bool needs_verification(const h2_session& session) const;
    std::shared_ptr<connect_attempt> start_connect(const endpoint& peer);
    awaitable<absl::Status> connect(endpoint peer);
    awaitable<absl::Status> open_session(endpoint peer, tcp::socket& socket);
    absl::StatusOr<tcp::socket> make_socket(const tcp::endpoint& remote) const;
    std::shared_ptr<h2_session> make_session(const endpoint& peer, tcp::socket socket);
    void remove_session(const endpoint& peer, const h2_session* session);
    awaitable<absl::StatusOr<std::string>> read_control(client_stream& stream) const;

    asio::any_io_executor executor_;
    const time_source& clock_;
    peer_pool_options options_;
    // Keyed by the peer's endpoint.
    std::map<endpoint, peer_connections> peers_;
    bool closed_ = false;
};

std::shared_ptr<h2_session> peer_pool::state::find_usable(const endpoint& peer) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return nullptr;
    }
    std::shared_ptr<h2_session> best;
    for (const auto& session : found->second.sessions) {
        if (session->usable() && session->open_stream_count() < session->stream_limit() &&
            (!best || session->open_stream_count() < best->open_stream_count())) {
            best = session;
        }
    }
    return best;
}

std::shared_ptr<peer_pool::state::connect_attempt> peer_pool::state::start_connect(const endpoint& peer) {
    auto started = std::make_shared<connect_attempt>(executor_);
    peers_[peer].connecting = started;
    // The attempt continues when its exchange is cancelled, because other exchanges may wait for it.
    asio::co_spawn(
        executor_,
        [self = shared_from_this(), peer, started]() -> awaitable<void> {
            started->status = co_await self->connect(peer);
            started->finished = true;
            started->done.notify();
            peer_connections& owner = self->peers_[peer];
            if (owner.connecting == started) {
                owner.connecting = nullptr;
            }
            if (owner.sessions.empty() && !owner.connecting) {
                self->peers_.erase(peer);
            }
        },
        asio::detached);
    return started;
}

awaitable<peer_pool::state::session_or_error> peer_pool::state::acquire_session(
    endpoint peer, std::chrono::nanoseconds limit) {
    std::shared_ptr<h2_session> session = find_usable(peer);
    if (session && !needs_verification(*session)) {
        co_return session;
    }
    using namespace asio::experimental::awaitable_operators;
    asio::steady_timer timer(executor_, limit);
    auto first = co_await (open_or_await_session(peer) || timer.async_wait(asio::use_awaitable));
    if (first.index() == 0) {
        co_return std::get<0>(std::move(first));
    }
    co_return absl::DeadlineExceededError("no usable connection to " + to_string(peer) +
                                          " before the deadline");
}

bool peer_pool::state::needs_verification(const h2_session& session) const {
    return session.open_stream_count() == 0 && session.time_since_last_byte() > options_.verify_after_idle;
}

awaitable<peer_pool::state::session_or_error> peer_pool::state::open_or_await_session(endpoint peer) {
    while (!closed_) {
        if (std::shared_ptr<h2_session> session = find_usable(peer)) {
            if (!needs_verification(*session) || (co_await session->verify() && session->usable())) {
                co_return session;
            }
            continue;
        }
        peer_connections& owner = peers_[peer];
        const auto usable = std::count_if(owner.sessions.begin(), owner.sessions.end(),
                                          [](const auto& session) { return session->usable(); });
        if (static_cast<std::size_t>(usable) >= options_.max_connections) {
            co_return absl::ResourceExhaustedError("all streams to " + to_string(peer) + " are in use");
        }
        const std::shared_ptr<connect_attempt> current =
            owner.connecting ? owner.connecting : start_connect(peer);
        while (!current->finished) {
            co_await current->done.wait();
        }
        if (!current->status.ok()) {
            co_return current->status;
        }
    }
    co_return absl::UnavailableError("the peer pool is closed");
}

absl::StatusOr<tcp::socket> peer_pool::state::make_socket(const tcp::endpoint& remote) const {
    tcp::socket socket(executor_);
    boost::system::error_code error;
    socket.open(remote.protocol(), error);
    if (!error && !options_.bind_address.empty()) {
        const auto source = asio::ip::make_address(options_.bind_address, error);
        if (!error) {
            socket.bind(tcp::endpoint(source, 0), error);
        }
    }
    if (!error) {
        socket.set_option(tcp::no_delay(true), error);
    }
    if (error) {
        return absl::UnavailableError("cannot open a socket: " + error.message());
    }
    return socket;
}

std::shared_ptr<h2_session> peer_pool::state::make_session(const endpoint& peer, tcp::socket socket) {
    h2_session_options options;
    options.role = h2_role::client;
    options.stream_window_bytes = options_.stream_window_bytes;
    options.ping_idle = options_.ping_idle;
    options.ping_deadline = options_.ping_deadline;
    options.idle_timeout = options_.idle_timeout;
    auto session_handle = std::make_shared<const h2_session*>(nullptr);
    h2_session_hooks hooks;
    hooks.on_unresponsive = [self = weak_from_this(), peer] {
        const auto owner = self.lock();
        if (owner && owner->options_.on_unresponsive_connection) {
            owner->options_.on_unresponsive_connection(peer);
        }
    };
    hooks.on_closed = [self = weak_from_this(), peer, session_handle] {
        if (const auto owner = self.lock()) {
            owner->remove_session(peer, *session_handle);
        }
    };
    auto session = std::make_shared<h2_session>(std::move(socket), options, std::move(hooks));
    *session_handle = session.get();
    return session;
}

awaitable<absl::Status> peer_pool::state::open_session(endpoint peer, tcp::socket& socket) {
    const absl::StatusOr<tcp::endpoint> remote = to_tcp_endpoint(peer);
    const auto [error] = co_await socket.async_connect(*remote, asio::as_tuple(asio::use_awaitable));
    if (error) {
        co_return absl::UnavailableError("cannot connect to " + to_string(peer) + ": " + error.message());
    }
    if (closed_) {
        co_return absl::UnavailableError("the peer pool is closed");
    }
    std::shared_ptr<h2_session> session = make_session(peer, std::move(socket));
    peers_[peer].sessions.push_back(session);
    session->start();
    if (!co_await session->wait_for_settings()) {
        co_return absl::UnavailableError(to_string(peer) + " closed the connection before it sent SETTINGS");
    }
    co_return absl::OkStatus();
}

awaitable<absl::Status> peer_pool::state::connect(endpoint peer) {
    using namespace asio::experimental::awaitable_operators;
    const absl::StatusOr<tcp::endpoint> remote = to_tcp_endpoint(peer);
    if (!remote.ok()) {
        co_return remote.status();
    }
    absl::StatusOr<tcp::socket> socket = make_socket(*remote);
    if (!socket.ok()) {
        co_return socket.status();
    }
    asio::steady_timer timer(executor_, options_.connect_timeout);
    const auto first = co_await (open_session(peer, *socket) || timer.async_wait(asio::use_awaitable));
    if (first.index() == 0) {
        co_return std::get<0>(first);
    }
    const auto sessions = peers_[peer].sessions;
    for (const auto& session : sessions) {
        if (!session->settings_received()) {
            session->close();
        }
    }
    co_return absl::UnavailableError("no connection to " + to_string(peer) + " within the connect timeout");
}

void peer_pool::state::remove_session(const endpoint& peer, const h2_session* session) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        return;
    }
    std::erase_if(found->second.sessions,
                  [session](const auto& existing) { return existing.get() == session; });
    if (found->second.sessions.empty() && !found->second.connecting) {
        peers_.erase(found);
    }
}

awaitable<exchange_result> peer_pool::state::exchange(const endpoint& peer, const request_head& head,
                                                      body_reader& body, response_writer& writer) {
    const auto self = shared_from_this();
    session_or_error session = absl::CancelledError();
    try {
        session = co_await acquire_session(peer, head.deadline - clock_.now());
    } catch (const std::exception&) {
        // Cancellation is delivered as an exception; parallel waits combine several into one. `session` keeps
        // its initial status.
    }
    if (!session.ok()) {
        co_return not_sent_result(session.status());
    }
    if (head.deadline <= clock_.now()) {
        co_return failed_exchange(error_kind::deadline_expired,
                                  "the deadline passed before the request was sent");
    }
    client_exchange exchange(*session, head, body, writer, clock_, options_.deadline_grace);
    co_return co_await exchange.run();
}

awaitable<absl::StatusOr<std::string>> peer_pool::state::read_control(client_stream& stream) const {
    const auto failure = [&stream] {
        if (stream.not_run()) {
            return absl::UnavailableError("the peer did not process the call");
        }
        return stream.get()->expired
                   ? absl::DeadlineExceededError("the peer did not answer in time")
                   : absl::AbortedError("the stream or connection was closed during the call");
    };
    if (!(co_await stream.wait_for_head()).ok()) {
        co_return failure();
    }
    const auto status = find_field(stream.get()->head, status_field);
    if (status.has_value()) {
        co_return decode_status(*status);
    }
    std::string answer;
    std::array<std::byte, control_read_bytes> buffer{};
    while (true) {
        const absl::StatusOr<std::size_t> count = co_await stream.session().receive(stream.get(), buffer);
        if (!count.ok() || *count == 0) {
            co_return count.ok() ? absl::StatusOr<std::string>(std::move(answer)) : failure();
        }
        answer.append(reinterpret_cast<const char*>(buffer.data()), *count);
        if (answer.size() > options_.max_control_bytes) {
            co_return absl::ResourceExhaustedError("the answer to the control call exceeds the size limit");
        }
    }
}

awaitable<absl::StatusOr<std::string>> peer_pool::state::call(const endpoint& peer, std::string method,
                                                              std::string payload,
                                                              std::chrono::milliseconds timeout) {
    const auto self = shared_from_this();
    const auto started = std::chrono::steady_clock::now();
    const session_or_error session = co_await acquire_session(peer, timeout);
    if (!session.ok()) {
        co_return absl::UnavailableError(session.status().message());
    }
    const auto remaining = timeout - (std::chrono::steady_clock::now() - started);
    const h2_fields fields{
        {":method", "POST"}, {":scheme", "http"}, {":authority", "peer"}, {":path", "/control/" + method}};
    client_stream stream(*session, fields, !payload.empty(), remaining);
    if (!payload.empty() &&
        (co_await stream.session().send(stream.get(), std::as_bytes(std::span(payload)))).ok()) {
        stream.session().finish(*stream.get(), {});
    }
    co_return co_await read_control(stream);
}

void peer_pool::state::close() {
    closed_ = true;
    const auto peers = std::exchange(peers_, {});
    for (const auto& [peer, owner] : peers) {
        for (const auto& session : owner.sessions) {
            session->close();
        }
    }
}

std::size_t peer_pool::state::connections(const endpoint& peer) const {
    const auto found = peers_.find(peer);
    return found == peers_.end() ? 0 : found->second.sessions.size();
}

peer_pool::peer_pool(asio::any_io_executor executor, const time_source& clock, peer_pool_options options)
    : state_(std::make_shared<state>(std::move(executor), clock, std::move(options))) {}

peer_pool::~peer_pool() {
    close();
}

awaitable<exchange_result> peer_pool::exchange(const endpoint& peer, const request_head& head,
                                               body_reader& body, response_writer& writer) {
    return state_->exchange(peer, head, body, writer);
}

awaitable<absl::StatusOr<std::string>> peer_pool::call(const endpoint& peer, std::string_view method,
                                                       std::string payload,
                                                       std::chrono::milliseconds timeout) {
    return state_->call(peer, std::string(method), std::move(payload), timeout);
}

void peer_pool::close() {
    state_->close();
}

std::size_t peer_pool::connections(const endpoint& peer) const {
    return state_->connections(peer);
}

}  // namespace teaselpitch
