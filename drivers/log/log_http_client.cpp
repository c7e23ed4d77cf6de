#include "drivers/log/log_http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <cstdint>
#include <string>
#include <utility>

#include "drivers/http/answer_head.h"

namespace teaselpitch::log_http {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using asio::ip::tcp;

constexpr auto result_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t max_answer_bytes = std::uint64_t{256} << 20;
constexpr std::uint32_t max_header_bytes = 8 * 1024;
constexpr unsigned lowest_final_status = 200;

response make_failed_response(response failed, std::string_view step, const beast::error_code& error) {
    failed.detail = std::string(step) + ": " + error.message();
    return failed;
}

http::request<http::string_body> make_http_request(const endpoint& address, request message) {
    http::request<http::string_body> head{http::string_to_verb(message.method), message.target, 11};
    head.set(http::field::host, to_string(address));
    head.keep_alive(false);
    if (!message.body.empty()) {
        head.set(http::field::content_type, message.content_type);
        head.body() = std::move(message.body);
    }
    head.prepare_payload();
    return head;
}

}  // namespace

awaitable<response> send_request(endpoint address, request message, std::chrono::milliseconds timeout) {
    response result;
    beast::error_code address_error;
    const auto number = asio::ip::make_address(address.address, address_error);
    if (address_error) {
        co_return make_failed_response(result, "address " + address.address, address_error);
    }
    beast::tcp_stream stream(co_await asio::this_coro::executor);
    stream.expires_after(timeout);
    const auto [connect_error] =
        co_await stream.async_connect(tcp::endpoint(number, address.port), result_tuple);
    if (connect_error) {
        co_return make_failed_response(result, "connect", connect_error);
    }
    const auto head = make_http_request(address, std::move(message));
    result.sent = true;
    const auto [write_error, written] = co_await http::async_write(stream, head, result_tuple);
    if (write_error) {
        co_return make_failed_response(result, "send", write_error);
    }
    beast::flat_buffer buffer(max_unparsed_bytes);
    for (int interim = 0; interim <= max_interim_answers; ++interim) {
        const answer_head_failure failure = co_await read_answer_head(stream, buffer, max_header_bytes);
        if (failure.error) {
            co_return make_failed_response(result, "receive", failure.error);
        }
        if (!failure.malformed.empty()) {
            result.detail = "malformed answer: " + failure.malformed;
            co_return result;
        }
        http::response_parser<http::string_body> parser;
        parser.header_limit(max_header_bytes);
        parser.body_limit(max_answer_bytes);
        const auto [read_error, received] = co_await http::async_read(stream, buffer, parser, result_tuple);
        if (read_error) {
            co_return make_failed_response(result, "receive", read_error);
        }
        if (parser.get().result_int() >= lowest_final_status) {
            result.answered = true;
            result.status = parser.get().result_int();
            result.body = std::move(parser.get().body());
            co_return result;
        }
    }
    result.detail = "malformed answer: too many interim answers";
    co_return result;
}

}  // namespace teaselpitch::log_http
