#include "drivers/http/admin_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <charconv>
#include <chrono>
#include <list>
#include <optional>
#include <string_view>
#include <utility>

#include "drivers/http/asio_types.h"
#include "drivers/http/error_reply.h"

namespace teaselpitch {
namespace {

constexpr std::chrono::seconds request_timeout{30};
constexpr std::chrono::milliseconds accept_retry_delay{20};

using request_message = http::request<http::string_body>;

admin_request make_admin_request(const request_message& message, const endpoint& peer) {
    const std::string_view target(message.target().data(), message.target().size());
    const std::size_t query_start = std::min(target.find('?'), target.size());
    admin_request request;
    request.method = message.method_string();
    request.path = target.substr(0, query_start);
    if (query_start < target.size()) {
        request.query = parse_query(target.substr(query_start + 1));
    }
    request.body = message.body();
    request.peer = peer;
    return request;
}

http::response<http::string_body> make_http_message(admin_response response, unsigned version,
                                                    bool keep_alive) {
    http::response<http::string_body> message;
    message.result(response.status);
    message.version(version);
    message.set(http::field::content_type, response.content_type);
    message.keep_alive(keep_alive);
    message.body() = std::move(response.body);
    message.prepare_payload();
    return message;
}

admin_response make_error_response(unsigned status, std::string_view detail) {
    return {status, "application/json", "{\"error\":" + json_quote(detail) + "}\n"};
}

}  // namespace

struct admin_server::state : std::enable_shared_from_this<admin_server::state> {
    struct connection {
        explicit connection(tcp::socket socket) : stream(std::move(socket)) {}

        beast::tcp_stream stream;
        bool handling = false;  ///< The handler runs, or the connection is being closed.
    };
    using connection_list = std::list<std::shared_ptr<connection>>;

    state(net::any_io_executor executor_in, admin_server_options options_in, handler handle_in)
        : executor(std::move(executor_in)), options(std::move(options_in)), handle(std::move(handle_in)) {}

    awaitable<void> accept_loop();
    void start_connection(tcp::socket socket);
    bool make_room();
    awaitable<void> serve_connection(connection_list::iterator position);
    awaitable<admin_response> run_handler(admin_request request);
    void note_limit(admin_limit limit) const;

    net::any_io_executor executor;
    const admin_server_options options;
    handler handle;
    std::optional<tcp::acceptor> acceptor;
    connection_list connections;  ///< In the order of their latest requests, the oldest first.
};

awaitable<void> admin_server::state::accept_loop() {
    const auto self = shared_from_this();
    net::steady_timer timer(executor);
    while (acceptor.has_value()) {
        auto [error, socket] = co_await acceptor->async_accept(tuple_awaitable);
        if (!acceptor.has_value()) {
            co_return;
        }
        if (error) {
            timer.expires_after(accept_retry_delay);
            co_await timer.async_wait(tuple_awaitable);
            continue;
        }
        start_connection(std::move(socket));
    }
}

void admin_server::state::start_connection(tcp::socket socket) {
    if (connections.size() >= options.max_connections) {
        note_limit(admin_limit::connections);
        if (!make_room()) {
            return;
        }
    }
    const auto position =
        connections.insert(connections.end(), std::make_shared<connection>(std::move(socket)));
    net::co_spawn(executor, serve_connection(position),
                  [self = shared_from_this(), position](const std::exception_ptr&) {
                      self->connections.erase(position);
                  });
}

// Closes the connection whose latest request is the oldest; false when the handler runs for all of them. The
// closed one leaves the list when its coroutine ends, so it is marked until then.
bool admin_server::state::make_room() {
    const auto found = std::find_if(connections.begin(), connections.end(),
                                    [](const auto& candidate) { return !candidate->handling; });
    if (found == connections.end()) {
        return false;
    }
    (*found)->handling = true;
    (*found)->stream.close();
    return true;
}

void admin_server::state::note_limit(admin_limit limit) const {
    if (options.limit_met) {
        options.limit_met(limit);
    }
}

awaitable<admin_response> admin_server::state::run_handler(admin_request request) {
    try {
        co_return co_await handle(std::move(request));
    } catch (const std::exception& error) {
        co_return make_error_response(500, error.what());
    }
}

awaitable<void> admin_server::state::serve_connection(connection_list::iterator position) {
    const auto self = shared_from_this();
    const std::shared_ptr<connection> current = *position;
    beast::tcp_stream& stream = current->stream;
    error_code ignored;
    const tcp::endpoint remote = stream.socket().remote_endpoint(ignored);
    const endpoint peer{remote.address().to_string(), remote.port()};
    beast::flat_buffer buffer(max_unparsed_bytes);
    bool keep_open = true;
    while (keep_open) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(options.max_body_bytes);
        stream.expires_after(request_timeout);
        auto [read_error, read] = co_await http::async_read(stream, buffer, parser, tuple_awaitable);
        admin_response response;
        unsigned version = 11;
        if (read_error == http::error::end_of_stream || (read_error && !parser.got_some())) {
            break;
        }
        if (read_error) {
            const bool too_large = read_error == http::error::body_limit;
            if (too_large) {
                note_limit(admin_limit::body_size);
            }
            response = make_error_response(too_large ? 413 : 400, read_error.message());
            keep_open = false;
        } else {
            version = parser.get().version();
            keep_open = parser.get().keep_alive();
            stream.expires_never();
            current->handling = true;
            connections.splice(connections.end(), connections, position);
            response = co_await run_handler(make_admin_request(parser.get(), peer));
            current->handling = false;
        }
        const auto message = make_http_message(std::move(response), version, keep_open);
        stream.expires_after(request_timeout);
        auto [write_error, written] = co_await http::async_write(stream, message, tuple_awaitable);
        keep_open = keep_open && !write_error;
    }
    stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
}

admin_server::admin_server(net::any_io_executor executor, admin_server_options options, handler handle)
    : state_(std::make_shared<state>(std::move(executor), std::move(options), std::move(handle))) {}

admin_server::~admin_server() {
    stop();
}

absl::StatusOr<endpoint> admin_server::start() {
    const admin_server_options& options = state_->options;
    absl::StatusOr<tcp::acceptor> acceptor = open_acceptor(state_->executor, options.listen, false);
    if (!acceptor.ok()) {
        return acceptor.status();
    }
    set_buffer_sizes(*acceptor, options.socket_buffer_bytes);
    const endpoint bound{options.listen.address, acceptor->local_endpoint().port()};
    state_->acceptor.emplace(*std::move(acceptor));
    net::co_spawn(state_->executor, state_->accept_loop(), net::detached);
    return bound;
}

void admin_server::stop() {
    state_->acceptor.reset();
    const auto connections = state_->connections;
    for (const auto& connection : connections) {
        connection->stream.close();
    }
}

std::string encode_query_component(std::string_view text) {
    constexpr std::string_view unreserved =
        "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    constexpr std::string_view digits = "0123456789ABCDEF";
    std::string result;
    for (const char byte : text) {
        const auto value = static_cast<unsigned char>(byte);
        if (unreserved.find(byte) != std::string_view::npos) {
            result.push_back(byte);
        } else {
            result.append({'%', digits[value >> 4U], digits[value & 0xfU]});
        }
    }
    return result;
}

std::string decode_query_component(std::string_view text) {
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        unsigned value = 0;
        if (text[i] == '%' && i + 2 < text.size() &&
            std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16).ptr == text.data() + i + 3) {
            decoded.push_back(static_cast<char>(value));
            i += 2;
        } else {
            decoded.push_back(text[i] == '+' ? ' ' : text[i]);
        }
    }
    return decoded;
}

std::map<std::string, std::string> parse_query(std::string_view text) {
    std::map<std::string, std::string> query;
    while (!text.empty()) {
        const std::size_t end = std::min(text.find('&'), text.size());
        const std::string_view pair = text.substr(0, end);
        const std::size_t equals = std::min(pair.find('='), pair.size());
        if (!pair.empty()) {
            query[decode_query_component(pair.substr(0, equals))] =
                equals < pair.size() ? decode_query_component(pair.substr(equals + 1)) : std::string();
        }
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return query;
}

}  // namespace teaselpitch
