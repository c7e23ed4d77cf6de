#include "main/load/call_sender.h"

#include <algorithm>
#include <boost/beast/core/tcp_stream.hpp>
#include <utility>

#include "drivers/http/asio_types.h"

namespace teaselpitch {
namespace {

http::request<http::string_body> message_of(const http_request& request) {
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

http_reply reply_of(http::response<http::string_body> message) {
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
    std::size_t caller = 0;  // Index of its listener.
};

call_sender::call_sender(net::any_io_executor executor, const load_options& options)
    : executor_(std::move(executor)), options_(options), idle_(options.callers.size()) {}

call_sender::~call_sender() = default;

awaitable<std::unique_ptr<call_sender::connection>> call_sender::connect(std::size_t caller,
                                                                         steady_time deadline) {
    for (std::size_t tried = 0; tried < options_.callers.size(); ++tried) {
        const std::size_t listener = (caller + tried) % options_.callers.size();
        auto& idle = idle_[listener];
        if (!idle.empty()) {
            std::unique_ptr<connection> kept = std::move(idle.back());
            idle.pop_back();
            kept->stream.expires_at(deadline);
            co_return kept;
        }
        auto fresh = std::make_unique<connection>(executor_);
        fresh->caller = listener;
        fresh->stream.expires_at(deadline);
        const absl::StatusOr<tcp::endpoint> address = to_tcp_endpoint(options_.callers[listener]);
        const auto [error] = co_await fresh->stream.async_connect(*address, tuple_awaitable);
        if (!error) {
            co_return fresh;
        }
    }
    co_return nullptr;
}

awaitable<call_record> call_sender::send(planned_send planned, history_time scheduled) {
    call_record call;
    call.call_id = planned.call_id;
    call.idempotency_key = planned.key;
    call.service = service_of(options_.hosts.at(planned.host));
    call.non_idempotent = planned.post;
    call.start = scheduled;
    const http_request request = request_of(planned, options_);
    const http::request<http::string_body> message = message_of(request);
    std::unique_ptr<connection> used =
        co_await connect(planned.caller, std::chrono::steady_clock::now() + options_.timeout);
    if (used != nullptr) {
        http::response_parser<http::string_body> parser;
        auto [write_error, written] = co_await http::async_write(used->stream, message, tuple_awaitable);
        if (!write_error) {
            auto [read_error, read] =
                co_await http::async_read(used->stream, used->buffer, parser, tuple_awaitable);
            if (!read_error) {
                const bool keep = parser.get().keep_alive();
                judge_answer(request, reply_of(parser.release()), call);
                if (keep) {
                    used->stream.expires_never();
                    idle_[used->caller].push_back(std::move(used));
                }
            }
        }
    }
    call.end = monotonic_now();
    co_return call;
}

}  // namespace teaselpitch
