#include "drivers/http/target_request.h"

#include <algorithm>
#include <string_view>

#include "absl/strings/match.h"
#include "drivers/http/header_rules.h"

namespace teaselpitch {
namespace {

void add_field(std::string& text, std::string_view name, std::string_view value) {
    text.append(name).append(": ").append(value).append("\r\n");
}

/// True for fields that the client sets itself and does not copy from the request head.
bool is_rewritten(std::string_view name, const http_dialect& dialect) {
    for (const std::string_view rewritten :
         {std::string_view("Host"), std::string_view("Content-Length"),
          std::string_view(dialect.request_id_field), std::string_view(dialect.timeout_ms_field),
          std::string_view(dialect.expected_target_field), std::string_view(dialect.caller_service_field)}) {
        if (absl::EqualsIgnoreCase(absl::string_view(name.data(), name.size()),
                                   absl::string_view(rewritten.data(), rewritten.size()))) {
            return true;
        }
    }
    return false;
}

void add_field_if_set(std::string& text, const std::string& name, std::string_view value) {
    if (!name.empty() && !value.empty()) {
        add_field(text, name, value);
    }
}

std::string select_host(const request_head& head, const endpoint& target) {
    if (const auto named = find_header(head.headers, "Host")) {
        return std::string(*named);
    }
    return head.host.empty() ? to_string(target) : head.host;
}

}  // namespace

std::string format_target_request(const request_head& head, const endpoint& target,
                                  std::chrono::nanoseconds remaining, const http_dialect& dialect) {
    std::string text = head.method + " " + head.path + " HTTP/1.1\r\n";
    add_field(text, "Host", select_host(head, target));
    for (const header_field& field : head.headers) {
        if (!is_hop_by_hop(field.name) && !is_rewritten(field.name, dialect)) {
            add_field(text, field.name, field.value);
        }
    }
    if (head.content_length.has_value()) {
        add_field(text, "Content-Length", std::to_string(*head.content_length));
    } else if (head.has_body) {
        add_field(text, "Transfer-Encoding", "chunked");
    }
    add_field(text, dialect.request_id_field, head.request_id);
    add_field_if_set(text, dialect.expected_target_field, head.target.name);
    add_field_if_set(text, dialect.caller_service_field, head.caller_service);
    // Rounded down, but at least 1: the target would refuse a request with 0 although time remains.
    const auto remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count();
    add_field(text, dialect.timeout_ms_field, std::to_string(std::max<std::int64_t>(remaining_ms, 1)));
    return text + "\r\n";
}

}  // namespace teaselpitch
