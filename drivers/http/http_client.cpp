#include "drivers/http/http_client.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "drivers/http/answer_head.h"
#include "drivers/http/asio_types.h"

namespace teaselpitch {
namespace {

/// Maximum size of a reply's header.
constexpr std::uint32_t max_reply_header_bytes = 8 * 1024;
constexpr unsigned lowest_final_status = 200;

absl::Status make_error_status(error_code error, const endpoint& target, const char* operation) {
    const std::string text = std::string(operation) + " " + to_string(target) + ": " + error.message();
    if (error == beast::error::timeout) {
        return absl::DeadlineExceededError(text);
    }
    if (error == http::error::partial_message) {
        return absl::DataLossError(text);
    }
    if (error == http::error::body_limit) {
        return absl::ResourceExhaustedError(text);
    }
    return absl::UnavailableError(text);
}

absl::Status make_malformed_status(const endpoint& target, std::string_view reason) {
    return absl::DataLossError("malformed reply from " + to_string(target) + ": " + std::string(reason));
}

http::request<http::string_body> make_message(http_request request, const endpoint& target) {
    http::request<http::string_body> message;
    message.method_string(request.method);
    message.target(request.path);
    message.version(11);
    for (const header_field& field : request.headers) {
        message.insert(field.name, field.value);
    }
    if (message.count(http::field::host) == 0) {
        message.set(http::field::host, to_string(target));
    }
    message.keep_alive(false);
    message.body() = std::move(request.body);
    message.prepare_payload();
    return message;
}

http_reply make_reply(http::response<http::string_body> message) {
    http_reply reply;
    reply.status = message.result_int();
    for (const auto& field : message) {
        reply.headers.push_back({std::string(field.name_string()), std::string(field.value())});
    }
    reply.body = std::move(message.body());
    return reply;
}

}  // namespace

awaitable<absl::StatusOr<http_reply>> send_http_request(net::any_io_executor executor, endpoint target,
                                                        http_request request,
                                                        std::chrono::milliseconds timeout) {
    const absl::StatusOr<tcp::endpoint> address = to_tcp_endpoint(target);
    if (!address.ok()) {
        co_return address.status();
    }
    beast::tcp_stream stream(executor);
    stream.expires_after(std::min(timeout, request.connect_timeout));
    auto [connect_error] = co_await stream.async_connect(*address, tuple_awaitable);
    if (connect_error) {
        co_return make_error_status(connect_error, target, "cannot connect to");
    }
    stream.expires_after(timeout);
    if (request.keep_alive_probes) {
        enable_keep_alive_probes(stream.socket());
    }
    const std::size_t max_reply_bytes = request.max_reply_bytes;
    const bool head_only = request.method == "HEAD";
    const http::request<http::string_body> message = make_message(std::move(request), target);
    auto [write_error, written] = co_await http::async_write(stream, message, tuple_awaitable);
    if (write_error) {
        co_return make_error_status(write_error, target, "cannot send the request to");
    }
    beast::flat_buffer buffer(max_unparsed_bytes);
    for (int interim = 0; interim <= max_interim_answers; ++interim) {
        const answer_head_failure failure = co_await read_answer_head(stream, buffer, max_reply_header_bytes);
        if (failure.error) {
            co_return make_error_status(failure.error, target, "cannot read the reply from");
        }
        if (!failure.malformed.empty()) {
            co_return make_malformed_status(target, failure.malformed);
        }
        http::response_parser<http::string_body> parser;
        parser.header_limit(max_reply_header_bytes);
        parser.body_limit(max_reply_bytes);
        parser.skip(head_only);
        auto [read_error, read] = co_await http::async_read(stream, buffer, parser, tuple_awaitable);
        if (read_error) {
            co_return make_error_status(read_error, target, "cannot read the reply from");
        }
        const unsigned status = parser.get().result_int();
        if (status >= lowest_final_status) {
            co_return make_reply(parser.release());
        }
        if (status == static_cast<unsigned>(http::status::switching_protocols)) {
            break;  // The request did not ask for an upgrade.
        }
    }
    co_return make_malformed_status(target, "a status 101 or too many interim answers");
}

absl::StatusOr<http_reply> send_http_request_blocking(const endpoint& target, http_request request,
                                                      std::chrono::milliseconds timeout) {
    net::io_context context(1);
    absl::StatusOr<http_reply> reply = absl::UnknownError("the call did not complete");
    net::co_spawn(context, send_http_request(context.get_executor(), target, std::move(request), timeout),
                  [&reply](const std::exception_ptr& failure, absl::StatusOr<http_reply> value) {
                      reply = failure ? absl::StatusOr<http_reply>(
                                            absl::InternalError("the call ended with an exception"))
                                      : std::move(value);
                  });
    context.run();
    return reply;
}

}  // namespace teaselpitch
