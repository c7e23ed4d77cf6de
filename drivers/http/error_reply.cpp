#include "drivers/http/error_reply.h"

#include <fmt/format.h>

#include <boost/beast/http/status.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <chrono>

namespace teaselpitch {
namespace {

std::string reason_phrase(unsigned status) {
    constexpr unsigned client_closed_request = 499;  // Not an IANA-registered status code.
    if (status == client_closed_request) {
        return "Client Closed Request";
    }
    const auto reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return {reason.data(), reason.size()};
}

void add_field(std::string& text, std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
}

/// Formats Retry-After in whole seconds, rounded up, or with a fraction if the dialect allows it.
std::string retry_after_text(std::chrono::milliseconds delay, bool fractional) {
    if (fractional) {
        return fmt::format("{:.3f}", std::chrono::duration<double>(delay).count());
    }
    return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

void add_fleet_fields(std::string& text, const exchange_result& result, const error_reply_context& context) {
    add_field(text, "Teaselpitch-Error", get_error_answer(result.error).name);
    add_field(text, "Teaselpitch-Execution", to_string(result.execution));
    if (!context.node.empty()) {
        add_field(text, "Teaselpitch-Node", context.node);
    }
    if (result.slot_epoch != 0) {
        add_field(text, "Teaselpitch-Slot-Epoch", std::to_string(result.slot_epoch));
    }
}

}  // namespace

std::string json_quote(std::string_view text) {
    std::string ascii;
    ascii.reserve(text.size());
    for (const char c : text) {
        ascii.push_back(static_cast<unsigned char>(c) < 0x80 ? c : '?');
    }
    return boost::json::serialize(boost::json::string(ascii));
}

exchange_result to_error_result(const exchange_result& result) {
    return result.error == error_kind::none
               ? failed_exchange(error_kind::internal, "the handler returned without an answer")
               : result;
}

std::string format_error_reply(const exchange_result& result, const error_reply_context& context) {
    static const http_dialect default_dialect;
    const http_dialect& dialect = context.dialect == nullptr ? default_dialect : *context.dialect;
    const error_answer& answer = get_error_answer(result.error);
    const unsigned status = http_status_of(dialect, result.error);
    std::string body = "{\"kind\":" + json_quote(answer.name) +
                       ",\"meaning\":" + json_quote(answer.description) +
                       ",\"detail\":" + json_quote(result.detail) + "}\n";
    std::string text = "HTTP/1.1 " + std::to_string(status) + " " + reason_phrase(status) + "\r\n";
    add_field(text, "Content-Type", "application/json");
    add_field(text, "Content-Length", std::to_string(body.size()));
    if (dialect.adds_fleet_fields_to_answers) {
        add_fleet_fields(text, result, context);
    }
    if (!context.request_id.empty()) {
        add_field(text, dialect.request_id_field, context.request_id);
    }
    if (result.retry_after.has_value()) {
        add_field(text, "Retry-After", retry_after_text(*result.retry_after, dialect.fractional_retry_after));
    }
    if (context.close || context.keep_alive) {
        add_field(text, "Connection", context.close ? "close" : "keep-alive");
    }
    text.append("\r\n");
    if (!context.head_only) {
        text.append(body);
    }
    return text;
}

}  // namespace teaselpitch
