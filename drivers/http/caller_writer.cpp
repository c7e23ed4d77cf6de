#include "drivers/http/caller_writer.h"

#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <utility>

#include "drivers/http/header_rules.h"
#include "servers/exchange/field_syntax.h"

namespace teaselpitch {
namespace {

/// Body pieces up to this size are copied, so that a small answer is sent with one write.
constexpr std::size_t max_copied_bytes = std::size_t{16} * 1024;

constexpr unsigned status_no_content = 204;
constexpr unsigned status_not_modified = 304;

std::string_view to_string_view(std::span<const std::byte> data) {
    return {reinterpret_cast<const char*>(data.data()), data.size()};
}

void add_field(std::string& text, std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
}

std::string chunk_header(std::size_t size) {
    std::array<char, 18> digits{};
    const auto result = std::to_chars(digits.data(), digits.data() + digits.size(), size, 16);
    return std::string(digits.data(), result.ptr) + "\r\n";
}

}  // namespace

caller_writer::caller_writer(tcp::socket& socket, io_deadline& deadline,
                             const caller_writer_settings& settings)
    : socket_(socket), deadline_(deadline), settings_(settings) {}

void caller_writer::choose_framing(const response_head& head) {
    keep_alive_ = settings_.keep_alive && !(settings_.should_close && settings_.should_close());
    const bool bodiless = settings_.head_only || !head.has_body || head.status == status_no_content ||
                          head.status == status_not_modified;
    if (bodiless) {
        framing_ = framing::none;
    } else if (head.content_length.has_value()) {
        framing_ = framing::sized;
        remaining_ = *head.content_length;
    } else if (settings_.version >= 11) {
        framing_ = framing::chunked;
    } else {
        framing_ = framing::until_close;
        keep_alive_ = false;
    }
}

void caller_writer::add_fleet_fields(std::string& text, const response_head& head) const {
    add_field(text, "Teaselpitch-Execution", to_string(execution_state::run));
    if (!settings_.request_id.empty()) {
        add_field(text, "Teaselpitch-Request-Id", settings_.request_id);
    }
    if (!head.target.empty()) {
        add_field(text, "Teaselpitch-Target", head.target);
    }
    if (!settings_.node.empty()) {
        add_field(text, "Teaselpitch-Node", settings_.node);
    }
}

std::string caller_writer::format_head(const response_head& head) const {
    std::string text = "HTTP/1.1 " + std::to_string(head.status) + " " + head.reason + "\r\n";
    for (const header_field& field : head.headers) {
        if (!is_hop_by_hop(field.name) && !is_fleet_answer_field(field.name)) {
            add_field(text, field.name, field.value);
        }
    }
    if (framing_ == framing::chunked) {
        add_field(text, "Transfer-Encoding", "chunked");
    } else if (head.content_length.has_value() && head.status != status_no_content) {
        add_field(text, "Content-Length", std::to_string(*head.content_length));
    }
    if (settings_.fleet_fields) {
        add_fleet_fields(text, head);
    }
    if (!keep_alive_) {
        add_field(text, "Connection", "close");
    } else if (settings_.version < 11) {
        add_field(text, "Connection", "keep-alive");
    }
    return text + "\r\n";
}

awaitable<absl::Status> caller_writer::write_head(const response_head& head) {
    if (started_ || failed_) {
        co_return absl::FailedPreconditionError("the head has already been written");
    }
    started_ = true;
    if (const auto error = find_response_error(head)) {
        abort();
        co_return absl::InvalidArgumentError(*error);
    }
    if (settings_.wait_for_earlier_answers) {
        // Whether this is the last answer of the connection is known only after the earlier answers.
        co_await settings_.wait_for_earlier_answers();
    }
    choose_framing(head);
    pending_ = format_head(head);
    if (framing_ == framing::chunked || framing_ == framing::until_close) {
        co_return co_await flush();
    }
    co_return absl::OkStatus();  // The head is sent together with the first body bytes or by finish().
}

awaitable<absl::Status> caller_writer::write_body(std::span<const std::byte> data) {
    if (!started_ || finished_ || failed_) {
        co_return absl::FailedPreconditionError("the answer is not open");
    }
    if (data.empty()) {
        co_return absl::OkStatus();
    }
    switch (framing_) {
        case framing::none:
            co_return absl::FailedPreconditionError("an answer without a body cannot contain body bytes");
        case framing::sized:
            co_return co_await write_sized(data);
        case framing::chunked:
            co_return co_await write_chunk(data);
        case framing::until_close:
            co_return co_await send(std::string_view(), data, std::string_view());
    }
    co_return absl::InternalError("the framing of the answer is invalid");
}

awaitable<absl::Status> caller_writer::write_sized(std::span<const std::byte> data) {
    if (data.size() > remaining_) {
        abort();
        co_return absl::OutOfRangeError("the body is longer than its Content-Length");
    }
    remaining_ -= data.size();
    const bool completes_body = remaining_ == 0;
    if (completes_body && data.size() <= max_copied_bytes) {
        pending_.append(to_string_view(data));
        co_return absl::OkStatus();
    }
    const std::span<const std::byte> sendable = completes_body ? data.first(data.size() - 1) : data;
    const std::string prefix = std::exchange(pending_, std::string());
    if (completes_body) {
        pending_.assign(1, static_cast<char>(data.back()));
    }
    co_return co_await send(prefix, sendable, std::string_view());
}

awaitable<absl::Status> caller_writer::write_chunk(std::span<const std::byte> data) {
    const std::string header = chunk_header(data.size());
    co_return co_await send(header, data, "\r\n");
}

awaitable<absl::Status> caller_writer::finish() {
    if (!started_ || finished_ || failed_) {
        co_return absl::FailedPreconditionError("the answer is not open");
    }
    if (framing_ == framing::sized && remaining_ > 0) {
        abort();
        co_return absl::DataLossError("the body is shorter than its Content-Length");
    }
    if (framing_ == framing::chunked) {
        pending_ = "0\r\n\r\n";
    }
    const absl::Status status = co_await flush();
    finished_ = status.ok();
    co_return status;
}

void caller_writer::abort() {
    if (!finished_) {
        failed_ = true;
        pending_.clear();
        reset_socket(socket_);
    }
}

awaitable<absl::Status> caller_writer::flush() {
    const std::string text = std::exchange(pending_, std::string());
    if (text.empty()) {
        co_return absl::OkStatus();
    }
    co_return co_await send(text, std::span<const std::byte>(), std::string_view());
}

awaitable<absl::Status> caller_writer::send(std::string_view prefix, std::span<const std::byte> data,
                                            std::string_view suffix) {
    const std::array<net::const_buffer, 3> buffers{net::buffer(prefix), net::buffer(data.data(), data.size()),
                                                   net::buffer(suffix)};
    memory_charge unsent(settings_.account);
    unsent.set(prefix.size() + data.size());
    deadline_.arm(settings_.timeout);
    auto [error, size] = co_await net::async_write(socket_, buffers, tuple_awaitable);
    deadline_.disarm();
    if (error) {
        failed_ = true;
        co_return absl::UnavailableError("the answer could not be written to the caller: " + error.message());
    }
    co_return absl::OkStatus();
}

}  // namespace teaselpitch
