#include "main/standin_log/standin_log_server.h"

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "core/json.h"

namespace teaselpitch {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
namespace json = boost::json;
using asio::ip::tcp;
using outage_kind = standin_log_faults::outage_kind;

constexpr auto as_result_tuple = asio::as_tuple(asio::use_awaitable);
constexpr std::uint64_t max_request_body_bytes = std::uint64_t{256} << 20;
constexpr std::chrono::hours hang_timeout{1};
constexpr std::uint64_t default_max_records = 500;
constexpr std::uint64_t max_wait_ms = 60'000;

http::response<http::string_body> make_answer(http::status status, std::string body,
                                              std::string_view content_type = "application/json") {
    http::response<http::string_body> answer{status, 11};
    answer.set(http::field::content_type, content_type);
    answer.body() = std::move(body);
    answer.prepare_payload();
    return answer;
}

http::response<http::string_body> make_error(http::status status, std::string_view reason) {
    return make_answer(status, json::serialize(json::object{{"error", reason}}));
}

std::uint64_t query_number_or(std::string_view query, std::string_view name, std::uint64_t fallback) {
    while (!query.empty()) {
        const std::string_view pair = query.substr(0, query.find('&'));
        query.remove_prefix(std::min(query.size(), pair.size() + 1));
        if (pair.substr(0, pair.find('=')) != name) {
            continue;
        }
        std::uint64_t value = fallback;
        const std::string_view text = pair.substr(std::min(pair.size(), name.size() + 1));
        std::from_chars(text.data(), text.data() + text.size(), value);
        return value;
    }
    return fallback;
}

// Returns NAME of the path /v1/streams/NAME/records, or an empty string for any other path.
std::string stream_name(std::string_view path) {
    constexpr std::string_view prefix = "/v1/streams/";
    constexpr std::string_view suffix = "/records";
    path = path.substr(0, path.find('?'));
    if (!path.starts_with(prefix) || !path.ends_with(suffix) ||
        path.size() <= prefix.size() + suffix.size()) {
        return {};
    }
    return std::string(path.substr(prefix.size(), path.size() - prefix.size() - suffix.size()));
}

std::string_view outage_name(outage_kind kind) {
    return kind == outage_kind::none ? "none" : kind == outage_kind::refuse ? "refuse" : "hang";
}

json::object faults_to_json(const standin_log_faults& faults) {
    return {{"outage", outage_name(faults.outage)},
            {"latency_ms", faults.latency.count()},
            {"lose_ack_next", faults.lose_ack_next},
            {"append_rate_limit", faults.append_rate_limit}};
}

bool set_outage(standin_log_faults& faults, const json::value& value) {
    for (const outage_kind kind : {outage_kind::none, outage_kind::refuse, outage_kind::hang}) {
        if (value.is_string() && value.as_string() == outage_name(kind)) {
            faults.outage = kind;
            return true;
        }
    }
    return false;
}

// Returns false for an unknown name or a value of the wrong type.
bool set_fault(standin_log_faults& faults, std::string_view name, const json::value& value) {
    if (name == "outage") {
        return set_outage(faults, value);
    }
    json::error_code error;
    const auto number = value.is_number() ? value.to_number<std::uint32_t>(error) : 0;
    if (error || !value.is_number()) {
        return false;
    }
    if (name == "latency_ms") {
        faults.latency = std::chrono::milliseconds(number);
    } else if (name == "lose_ack_next") {
        faults.lose_ack_next = number;
    } else if (name == "append_rate_limit") {
        faults.append_rate_limit = number;
    } else {
        return false;
    }
    return true;
}

}  // namespace

standin_log_server::standin_log_server(asio::any_io_executor executor, log_retention retention)
    : executor_(std::move(executor)), acceptor_(executor_), retention_(retention) {}

endpoint standin_log_server::listen(const endpoint& address) {
    const tcp::endpoint local(asio::ip::make_address(address.address), address.port);
    acceptor_.open(local.protocol());
    acceptor_.set_option(tcp::acceptor::reuse_address(true));
    acceptor_.bind(local);
    acceptor_.listen();
    asio::co_spawn(
        executor_, [self = shared_from_this()] { return self->accept_loop(); }, asio::detached);
    return {address.address, acceptor_.local_endpoint().port()};
}

void standin_log_server::stop() {
    stopped_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
    for (tcp::socket* connection : connections_) {
        connection->close(ignored);
    }
    for (asio::steady_timer* timer : wait_timers_) {
        timer->cancel();
    }
}

log_stream& standin_log_server::stream(const std::string& name) {
    return streams_.try_emplace(name, retention_).first->second;
}

awaitable<void> standin_log_server::accept_loop() {
    while (!stopped_) {
        auto [error, socket] = co_await acceptor_.async_accept(as_result_tuple);
        if (!error) {
            asio::co_spawn(
                executor_,
                [self = shared_from_this(), peer = std::move(socket)]() mutable {
                    return self->serve(std::move(peer));
                },
                asio::detached);
        }
    }
}

awaitable<void> standin_log_server::serve(tcp::socket socket) {
    connections_.insert(&socket);
    beast::flat_buffer buffer;
    while (!stopped_) {
        http::request_parser<http::string_body> parser;
        parser.body_limit(max_request_body_bytes);
        const auto [read_error, received] =
            co_await http::async_read(socket, buffer, parser, as_result_tuple);
        if (read_error) {
            break;
        }
        const request message = parser.release();
        answer reply = co_await handle(message);
        if (!reply || stopped_) {
            break;
        }
        reply->keep_alive(message.keep_alive());
        const auto [write_error, written] = co_await http::async_write(socket, *reply, as_result_tuple);
        if (write_error || !message.keep_alive()) {
            break;
        }
    }
    connections_.erase(&socket);
}

awaitable<standin_log_server::answer> standin_log_server::handle(const request& message) {
    if (message.target() == "/_faults" && message.method() == http::verb::post) {
        co_return set_faults(message);
    }
    if (message.target() == "/_status" && message.method() == http::verb::get) {
        co_return status(message);
    }
    if (faults_.outage == outage_kind::refuse) {
        co_return std::nullopt;
    }
    if (faults_.outage == outage_kind::hang) {
        co_await wait(hang_timeout, false);
        co_return std::nullopt;
    }
    co_return co_await handle_stream(message);
}

awaitable<standin_log_server::answer> standin_log_server::handle_stream(const request& message) {
    const std::string name = stream_name({message.target().data(), message.target().size()});
    if (name.empty()) {
        co_return make_error(http::status::not_found, "unknown path");
    }
    answer reply;
    if (message.method() == http::verb::post) {
        reply = co_await append(name, message);
    } else if (message.method() == http::verb::get) {
        reply = co_await read(name, message);
    } else {
        reply = make_error(http::status::method_not_allowed, "method is not GET or POST");
    }
    if (faults_.latency.count() > 0) {
        co_await wait(faults_.latency, false);
    }
    co_return reply;
}

awaitable<standin_log_server::answer> standin_log_server::append(const std::string& name,
                                                                 const request& message) {
    if (exceeds_append_rate()) {
        co_return make_error(http::status::too_many_requests, "append rate limit exceeded");
    }
    const std::uint64_t offset = stream(name).append(message.body(), clock_.now());
    wake_readers();
    if (faults_.lose_ack_next > 0) {
        --faults_.lose_ack_next;
        co_return std::nullopt;
    }
    co_return make_answer(http::status::ok, json::serialize(json::object{{"offset", offset}}));
}

awaitable<standin_log_server::answer> standin_log_server::read(const std::string& name,
                                                               const request& message) {
    const std::string_view target(message.target().data(), message.target().size());
    const std::string_view query = target.substr(std::min(target.size(), target.find('?') + 1));
    const std::uint64_t from = query_number_or(query, "from", 0);
    const std::uint64_t max = query_number_or(query, "max", default_max_records);
    const auto deadline =
        clock_.now() + std::chrono::milliseconds(std::min(query_number_or(query, "wait_ms", 0), max_wait_ms));
    stream(name).expire(clock_.now());
    while (stream(name).end_offset() <= from && clock_.now() < deadline && !stopped_) {
        co_await wait(std::chrono::ceil<std::chrono::milliseconds>(deadline - clock_.now()), true);
    }
    co_return make_answer(http::status::ok, stream(name).read(from, max).SerializeAsString(),
                          "application/x-protobuf");
}

standin_log_server::answer standin_log_server::set_faults(const request& message) {
    json::error_code error;
    const json::value requested_faults = json::parse(message.body(), error);
    if (error || !requested_faults.is_object()) {
        return make_error(http::status::bad_request, "request body is not a JSON object");
    }
    standin_log_faults updated_faults = faults_;
    for (const auto& [name, value] : requested_faults.as_object()) {
        if (!set_fault(updated_faults, name, value)) {
            return make_error(http::status::bad_request,
                              "unknown fault or invalid value: " + std::string(name));
        }
    }
    faults_ = updated_faults;
    return make_answer(http::status::ok, json::serialize(faults_to_json(faults_)));
}

standin_log_server::answer standin_log_server::status(const request&) {
    json::object streams;
    for (const auto& [name, stream] : streams_) {
        streams[name] =
            json::object{{"first_offset", stream.first_offset()}, {"end_offset", stream.end_offset()}};
    }
    return make_answer(http::status::ok, json::serialize(json::object{{"streams", streams},
                                                                      {"faults", faults_to_json(faults_)}}));
}

bool standin_log_server::exceeds_append_rate() {
    const steady_time now = clock_.now();
    if (now - rate_window_start_ >= std::chrono::seconds(1)) {
        rate_window_start_ = now;
        appends_in_window_ = 0;
    }
    return ++appends_in_window_ > faults_.append_rate_limit && faults_.append_rate_limit > 0;
}

void standin_log_server::wake_readers() {
    for (asio::steady_timer* timer : reader_wait_timers_) {
        timer->cancel();
    }
}

awaitable<void> standin_log_server::wait(std::chrono::milliseconds duration, bool until_append) {
    asio::steady_timer timer(executor_, duration);
    wait_timers_.insert(&timer);
    if (until_append) {
        reader_wait_timers_.insert(&timer);
    }
    co_await timer.async_wait(as_result_tuple);
    wait_timers_.erase(&timer);
    reader_wait_timers_.erase(&timer);
}

}  // namespace teaselpitch
