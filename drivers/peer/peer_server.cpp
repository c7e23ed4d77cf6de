#include "drivers/peer/peer_server.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <exception>
#include <unordered_set>
#include <utility>

#include "core/event_log.h"
#include "drivers/peer/h2_session.h"
#include "drivers/peer/head_codec.h"
#include "drivers/peer/server_stream.h"
#include "servers/admission/memory_account.h"

namespace teaselpitch {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using reuse_port_option = asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>;

constexpr std::string_view control_prefix = "/control/";
constexpr std::string_view exchange_path = "/exchange";
constexpr std::size_t control_read_bytes = 16'384;
// Delay after a failed accept, for example when the process has no free file descriptor.
constexpr std::chrono::milliseconds accept_retry_delay{50};
/// Memory of a stream besides its fields and payload.
constexpr std::size_t stream_bytes = 1'024;
/// Time for the peer to end its side of a stream that was answered before.
constexpr std::chrono::milliseconds linger_time{1'000};

/// The charge of one stream, released with the stream.
struct stream_charge {
    explicit stream_charge(memory_budget& budget) : account(&budget, nullptr), charge(&account) {}

    memory_account account;
    memory_charge charge;
};

}  // namespace

class peer_server::state : public std::enable_shared_from_this<peer_server::state> {
public:
    state(asio::any_io_executor executor, peer_server_options options, exchange_handler& gate,
          control_handler control, const time_source& clock)
        : executor_(std::move(executor)),
          options_(std::move(options)),
          gate_(gate),
          control_handler_(std::move(control)),
          clock_(clock),
          acceptor_(executor_),
          changed_(executor_) {}

    absl::StatusOr<endpoint> start();
    awaitable<void> drain();
    void stop();

private:
    absl::StatusOr<endpoint> listen();
    awaitable<void> accept_loop();
    void add_session(tcp::socket socket);
    /// Closes the session without streams that was silent for longest; false when all have streams.
    bool make_room();
    /// Charges the stream's head; false when there is no memory for it.
    bool charge_head(h2_stream& stream) const;
    static bool charge_payload(const h2_stream& stream, std::size_t bytes);
    /// Ends a stream that was answered while its peer keeps it open.
    static awaitable<void> end_lingering(std::weak_ptr<h2_session> session, std::weak_ptr<h2_stream> stream,
                                         asio::any_io_executor executor);
    void note_limit(peer_limit limit) const;
    void spawn_handler(const std::shared_ptr<h2_session>& session, const std::shared_ptr<h2_stream>& stream);
    awaitable<void> dispatch_stream(std::shared_ptr<h2_session> session, std::shared_ptr<h2_stream> stream);
    awaitable<void> serve_exchange(std::shared_ptr<h2_session> session, std::shared_ptr<h2_stream> stream);
    awaitable<void> serve_control(std::shared_ptr<h2_session> session, std::shared_ptr<h2_stream> stream);
    awaitable<absl::StatusOr<std::string>> read_payload(std::shared_ptr<h2_session> session,
                                                        std::shared_ptr<h2_stream> stream);
    void close_acceptor();
    [[nodiscard]] h2_session_options session_options() const;

    asio::any_io_executor executor_;
    peer_server_options options_;
    exchange_handler& gate_;
    control_handler control_handler_;
    const time_source& clock_;
    tcp::acceptor acceptor_;
    std::unordered_set<std::shared_ptr<h2_session>> sessions_;
    std::size_t running_handlers_ = 0;
    async_signal changed_;
};

absl::StatusOr<endpoint> peer_server::state::listen() {
    boost::system::error_code error;
    const auto address = asio::ip::make_address(options_.listen.address, error);
    if (error) {
        return absl::InvalidArgumentError("peer listen address is not an IP address: " +
                                          options_.listen.address);
    }
    const tcp::endpoint local(address, options_.listen.port);
    acceptor_.open(local.protocol(), error);
    if (!error) {
        acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    }
    if (!error && options_.reuse_port) {
        acceptor_.set_option(reuse_port_option(true), error);
    }
    if (!error) {
        acceptor_.bind(local, error);
    }
    if (!error) {
        acceptor_.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        return absl::UnavailableError("cannot listen on " + to_string(options_.listen) + ": " +
                                      error.message());
    }
    const tcp::endpoint bound = acceptor_.local_endpoint();
    return endpoint{bound.address().to_string(), bound.port()};
}

absl::StatusOr<endpoint> peer_server::state::start() {
    absl::StatusOr<endpoint> bound = listen();
    if (bound.ok()) {
        asio::co_spawn(
            executor_, [self = shared_from_this()]() -> awaitable<void> { co_await self->accept_loop(); },
            asio::detached);
    }
    return bound;
}

awaitable<void> peer_server::state::accept_loop() {
    asio::steady_timer pause(executor_);
    while (acceptor_.is_open()) {
        auto [error, socket] = co_await acceptor_.async_accept(asio::as_tuple(asio::use_awaitable));
        if (!error && acceptor_.is_open()) {
            add_session(std::move(socket));
        } else if (acceptor_.is_open()) {
            log_event(event_level::warning, "peer_accept_failed", {{"reason", error.message()}});
            pause.expires_after(accept_retry_delay);
            co_await pause.async_wait(asio::as_tuple(asio::use_awaitable));
        }
    }
}

h2_session_options peer_server::state::session_options() const {
    h2_session_options result;
    result.role = h2_role::server;
    result.max_concurrent_streams = options_.max_concurrent_streams;
    result.initial_window_bytes = options_.early_body_window_bytes;
    result.stream_window_bytes = options_.stream_window_bytes;
    result.ping_idle = options_.ping_idle;
    result.ping_deadline = options_.ping_deadline;
    result.idle_timeout = options_.idle_timeout;
    result.max_stream_resets_per_second = options_.max_stream_resets_per_second;
    return result;
}

void peer_server::state::note_limit(peer_limit limit) const {
    if (options_.limit_met) {
        options_.limit_met(limit);
    }
}

bool peer_server::state::make_room() {
    std::shared_ptr<h2_session> longest;
    for (const auto& session : sessions_) {
        const bool has_streams = session->open_stream_count() > 0;
        if (!has_streams && (!longest || session->time_since_last_byte() > longest->time_since_last_byte())) {
            longest = session;
        }
    }
    if (longest) {
        longest->close();
    }
    return longest != nullptr;
}

bool peer_server::state::charge_head(h2_stream& stream) const {
    if (options_.memory == nullptr) {
        return true;
    }
    auto charged = std::make_shared<stream_charge>(*options_.memory);
    const bool added = charged->charge.try_add(stream_bytes + stream.field_bytes, memory_mark::critical);
    stream.memory = std::move(charged);
    return added;
}

// Payloads leave a quarter of the memory to heads, so that long ones do not keep requests out.
bool peer_server::state::charge_payload(const h2_stream& stream, std::size_t bytes) {
    auto* charged = static_cast<stream_charge*>(stream.memory.get());
    return charged == nullptr || charged->charge.try_add(bytes, memory_mark::high);
}

void peer_server::state::add_session(tcp::socket socket) {
    if (options_.max_connections > 0 && sessions_.size() >= options_.max_connections) {
        note_limit(peer_limit::connections);
        if (!make_room()) {
            return;
        }
    }
    boost::system::error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    auto session_handle = std::make_shared<std::weak_ptr<h2_session>>();
    h2_session_hooks hooks;
    hooks.on_request = [this, session_handle](const std::shared_ptr<h2_stream>& stream) {
        spawn_handler(session_handle->lock(), stream);
    };
    hooks.on_closed = [self = shared_from_this(), session_handle] {
        self->sessions_.erase(session_handle->lock());
        self->changed_.notify();
    };
    auto session = std::make_shared<h2_session>(std::move(socket), session_options(), std::move(hooks));
    *session_handle = session;
    sessions_.insert(session);
    session->start();
}

void peer_server::state::spawn_handler(const std::shared_ptr<h2_session>& session,
                                       const std::shared_ptr<h2_stream>& stream) {
    if (!charge_head(*stream)) {
        note_limit(peer_limit::memory);
        session->reset(*stream, NGHTTP2_REFUSED_STREAM);
        return;
    }
    ++running_handlers_;
    asio::co_spawn(executor_, dispatch_stream(session, stream),
                   asio::bind_cancellation_slot(
                       stream->handler_cancellation.slot(),
                       [self = shared_from_this(), session, stream](const std::exception_ptr& failure) {
                           --self->running_handlers_;
                           self->changed_.notify();
                           if (failure) {
                               session->reset(*stream, NGHTTP2_INTERNAL_ERROR);
                           } else if (!stream->closed && !stream->remote_ended) {
                               asio::co_spawn(self->executor_,
                                              end_lingering(session, stream, self->executor_),
                                              asio::detached);
                           }
                       }));
}

awaitable<void> peer_server::state::end_lingering(std::weak_ptr<h2_session> session,
                                                  std::weak_ptr<h2_stream> stream,
                                                  asio::any_io_executor executor) {
    asio::steady_timer timer(executor);
    bool answered = false;
    while (!answered) {
        timer.expires_after(linger_time);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        const std::shared_ptr<h2_stream> open = stream.lock();
        const std::shared_ptr<h2_session> owner = session.lock();
        if (!open || !owner || open->closed || open->remote_ended) {
            co_return;
        }
        answered = open->outbound.empty();
        if (answered) {
            owner->reset(*open, NGHTTP2_NO_ERROR);
        }
    }
}

awaitable<void> peer_server::state::dispatch_stream(std::shared_ptr<h2_session> session,
                                                    std::shared_ptr<h2_stream> stream) {
    const std::string_view path = find_field(stream->head, ":path").value_or("");
    if (path == exchange_path) {
        co_await serve_exchange(session, stream);
    } else if (path.starts_with(control_prefix)) {
        co_await serve_control(session, stream);
    } else {
        session->respond(*stream, {{":status", "404"}}, false);
    }
}

awaitable<void> peer_server::state::serve_exchange(std::shared_ptr<h2_session> session,
                                                   std::shared_ptr<h2_stream> stream) {
    server_response_writer writer(session, stream);
    absl::StatusOr<request_head> head =
        decode_request(find_field(stream->head, request_field).value_or(""), clock_.now());
    if (!head.ok()) {
        writer.complete(failed_exchange(error_kind::malformed_request, status_message(head.status())));
        co_return;
    }
    server_body_reader body(session, stream);
    writer.complete(co_await gate_.exchange(*head, body, writer));
}

awaitable<absl::StatusOr<std::string>> peer_server::state::read_payload(std::shared_ptr<h2_session> session,
                                                                        std::shared_ptr<h2_stream> stream) {
    std::string payload;
    std::array<std::byte, control_read_bytes> buffer{};
    asio::steady_timer limit(executor_, options_.control_timeout);
    limit.async_wait([self = shared_from_this(), session, stream](const boost::system::error_code& error) {
        if (!error && !stream->remote_ended) {
            self->note_limit(peer_limit::time);
            session->reset(*stream, NGHTTP2_CANCEL);
        }
    });
    session->grant_window(*stream);
    while (true) {
        const absl::StatusOr<std::size_t> count = co_await session->receive(stream, buffer);
        if (!count.ok() || *count == 0) {
            co_return count.ok() ? absl::StatusOr<std::string>(std::move(payload)) : count.status();
        }
        if (!charge_payload(*stream, *count)) {
            note_limit(peer_limit::memory);
            co_return absl::ResourceExhaustedError("the control messages of other nodes take the memory");
        }
        payload.append(reinterpret_cast<const char*>(buffer.data()), *count);
        if (payload.size() > options_.max_control_bytes) {
            co_return absl::ResourceExhaustedError("the control message exceeds the limit of " +
                                                   std::to_string(options_.max_control_bytes) + " bytes");
        }
    }
}

awaitable<void> peer_server::state::serve_control(std::shared_ptr<h2_session> session,
                                                  std::shared_ptr<h2_stream> stream) {
    const std::string method(
        std::string_view(find_field(stream->head, ":path").value_or("")).substr(control_prefix.size()));
    absl::StatusOr<std::string> answer = co_await read_payload(session, stream);
    if (answer.ok()) {
        const std::string payload = std::move(*answer);
        answer = co_await control_handler_(method, payload);
    }
    if (!answer.ok()) {
        session->respond(*stream,
                         {{":status", "200"}, {std::string(status_field), encode_status(answer.status())}},
                         false);
        co_return;
    }
    session->respond(*stream, {{":status", "200"}}, true);
    const absl::Status sent = co_await session->send(stream, std::as_bytes(std::span(*answer)));
    if (sent.ok()) {
        session->finish(*stream, {});
    }
}

void peer_server::state::close_acceptor() {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
}

awaitable<void> peer_server::state::drain() {
    close_acceptor();
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        session->drain();
    }
    while (!sessions_.empty() || running_handlers_ > 0) {
        co_await changed_.wait();
    }
}

void peer_server::state::stop() {
    close_acceptor();
    const auto sessions = std::exchange(sessions_, {});
    for (const auto& session : sessions) {
        session->close();
    }
}

peer_server::peer_server(asio::any_io_executor executor, peer_server_options options, exchange_handler& gate,
                         control_handler control, const time_source& clock)
    : state_(std::make_shared<state>(std::move(executor), std::move(options), gate, std::move(control),
                                     clock)) {}

peer_server::~peer_server() {
    stop();
}

absl::StatusOr<endpoint> peer_server::start() {
    return state_->start();
}

awaitable<void> peer_server::drain() {
    return state_->drain();
}

void peer_server::stop() {
    state_->stop();
}

}  // namespace teaselpitch
