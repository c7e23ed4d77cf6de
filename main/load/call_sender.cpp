#include "main/load/call_sender.h"

#include <algorithm>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

#include "drivers/http/asio_types.h"

namespace teaselpitch {
namespace {

http::request<http::string_body> to_beast_request(const http_request& request) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.path);
    message.version(11);
    for (const header_field& field : request.headers) {
        message.insert(field.name, field.value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

http_reply to_http_reply(http::response<http::string_body> message) {
    http_reply reply;
    reply.status = message.result_int();
    for (const auto& field : message) {
        reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    reply.body = std::move(message.body());
    return reply;
}

}  // namespace

history_time monotonic_now() {
    return std::chrono::duration_cast<std::chrono::microseconds>(
               std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

struct call_sender::connection {
    explicit connection(const net::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    std::size_t caller = 0;  // Index into load_options::callers.
};

call_sender::call_sender(net::any_io_executor executor, const load_options& options)
    : executor_(std::move(executor)), options_(options), idle_connections_(options.callers.size()) {}

call_sender::~call_sender() = default;

awaitable<std::unique_ptr<call_sender::connection>> call_sender::acquire_connection(std::size_t caller,
                                                                                    steady_time deadline) {
    for (std::size_t attempt = 0; attempt < options_.callers.size(); ++attempt) {
        const std::size_t listener = (caller + attempt) % options_.callers.size();
        auto& idle = idle_connections_[listener];
        if (!idle.empty()) {
            std::unique_ptr<connection> idle_connection = std::move(idle.back());
            idle.pop_back();
            idle_connection->stream.expires_at(deadline);
            co_return idle_connection;
        }
        auto new_connection = std::make_unique<connection>(executor_);
        new_connection->caller = listener;
        new_connection->stream.expires_at(deadline);
        const absl::StatusOr<tcp::endpoint> address = to_tcp_endpoint(options_.callers[listener]);
        const auto [error] = co_await new_connection->stream.async_connect(*address, tuple_awaitable);
        if (!error) {
            co_return new_connection;
        }
    }
    co_return nullptr;
}

awaitable<call_record> call_sender::send(planned_request planned, history_time scheduled) {
    call_record call;
    call.call_id = planned.call_id;
    call.idempotency_key = planned.key;
    call.service = get_service_name(options_.hosts.at(planned.host));
    call.non_idempotent = planned.is_post;
    call.start = scheduled;
    const http_request request = make_call_request(planned, options_);
    const http::request<http::string_body> message = to_beast_request(request);
    std::unique_ptr<connection> active_connection =
        co_await acquire_connection(planned.caller, std::chrono::steady_clock::now() + options_.timeout);
    if (active_connection != nullptr) {
        http::response_parser<http::string_body> parser;
        auto [write_error, written] =
            co_await http::async_write(active_connection->stream, message, tuple_awaitable);
        if (!write_error) {
            auto [read_error, read] = co_await http::async_read(
                active_connection->stream, active_connection->buffer, parser, tuple_awaitable);
            if (!read_error) {
                const bool reusable = parser.get().keep_alive();
                evaluate_answer(request, to_http_reply(parser.release()), call);
                if (reusable) {
                    active_connection->stream.expires_never();
                    idle_connections_[active_connection->caller].push_back(std::move(active_connection));
                }
            }
        }
    }
    call.end = monotonic_now();
    co_return call;
}

}  // namespace teaselpitch
