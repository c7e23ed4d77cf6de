#include "drivers/http/header_rules.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdint>

#include "absl/status/status.h"
#include "absl/strings/ascii.h"
#include "absl/strings/match.h"
#include "absl/strings/str_split.h"
#include "servers/exchange/field_syntax.h"

namespace teaselpitch {
namespace {

namespace http = boost::beast::http;
using request_header = http::header<true, http::fields>;

constexpr std::array<std::string_view, 9> hop_by_hop_names{
    "connection",        "keep-alive", "proxy-connection", "te", "trailer", "upgrade",
    "transfer-encoding", "expect",     "http2-settings"};

constexpr std::array<std::string_view, 5> fleet_answer_names{"teaselpitch-execution", "teaselpitch-error",
                                                             "teaselpitch-request-id", "teaselpitch-target",
                                                             "teaselpitch-node"};

std::string_view to_std_view(boost::beast::string_view text) {
    return {text.data(), text.size()};
}

bool equals_ignore_case(std::string_view left, std::string_view right) {
    return absl::EqualsIgnoreCase(absl::string_view(left.data(), left.size()),
                                  absl::string_view(right.data(), right.size()));
}

template <typename Names>
bool contains_ignore_case(const Names& names, std::string_view name) {
    return std::any_of(names.begin(), names.end(),
                       [name](std::string_view candidate) { return equals_ignore_case(candidate, name); });
}

bool is_hex(char c) {
    return std::isxdigit(static_cast<unsigned char>(c)) != 0;
}

bool is_valid_path(std::string_view path) {
    if (path.empty() || path.front() != '/') {
        return false;
    }
    for (std::size_t i = 0; i < path.size(); ++i) {
        const auto byte = static_cast<unsigned char>(path[i]);
        if (byte <= 0x20 || byte >= 0x7f ||
            std::string_view("#\"<>\\^`{|}").find(path[i]) != std::string_view::npos) {
            return false;
        }
        if (path[i] == '%' && (i + 2 >= path.size() || !is_hex(path[i + 1]) || !is_hex(path[i + 2]))) {
            return false;
        }
    }
    return true;
}

bool is_valid_host(std::string_view host) {
    return std::all_of(host.begin(), host.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 ||
               std::string_view("-._~:[]!$&'()*+,;=%").find(c) != std::string_view::npos;
    });
}

std::string strip_port(std::string_view host) {
    const std::size_t bracket = host.rfind(']');
    const std::size_t colon = host.rfind(':');
    if (colon == std::string_view::npos || (bracket != std::string_view::npos && colon < bracket)) {
        return std::string(host);
    }
    return std::string(host.substr(0, colon));
}

/// Splits the request target into the path with the query and, in absolute form, the authority.
absl::Status parse_request_target(const request_header& header, std::string& path, std::string& authority) {
    std::string_view target = to_std_view(header.target());
    if (target == "*" && header.method() == http::verb::options) {
        path = target;
        return absl::OkStatus();
    }
    constexpr std::string_view scheme = "http://";
    if (target.size() > scheme.size() && equals_ignore_case(target.substr(0, scheme.size()), scheme)) {
        target.remove_prefix(scheme.size());
        const std::size_t end = std::min(target.find_first_of("/?"), target.size());
        authority = target.substr(0, end);
        path = target.substr(end);
        if (path.empty() || path.front() == '?') {
            path.insert(0, "/");
        }
        if (authority.empty()) {
            return absl::InvalidArgumentError("the request target has no host");
        }
    } else {
        path = target;
    }
    if (header.method() == http::verb::connect || !is_valid_path(path)) {
        return absl::InvalidArgumentError("the request target is not a valid path");
    }
    return absl::OkStatus();
}

absl::Status parse_host(const request_header& header, std::string_view authority, request_head& head) {
    const auto count = header.count(http::field::host);
    if (count > 1) {
        return absl::InvalidArgumentError("more than one Host field");
    }
    if (count == 0 && header.version() >= 11) {
        return absl::InvalidArgumentError("the Host field is missing");
    }
    const std::string_view host_field = to_std_view(header[http::field::host]);
    const std::string_view host = authority.empty() ? host_field : authority;
    if (!is_valid_host(host_field) || !is_valid_host(host)) {
        return absl::InvalidArgumentError("the host is not valid");
    }
    head.host = strip_port(host);
    for (header_field& field : head.headers) {
        if (equals_ignore_case(field.name, "host")) {
            field.value = host;
        }
    }
    return absl::OkStatus();
}

absl::Status parse_framing(const request_header& header, request_head& head) {
    const auto lengths = header.count(http::field::content_length);
    const auto codings = header.count(http::field::transfer_encoding);
    if (lengths > 1) {
        return absl::InvalidArgumentError("more than one Content-Length field");
    }
    if (lengths == 1 && codings > 0) {
        return absl::InvalidArgumentError("both a Content-Length and a Transfer-Encoding field");
    }
    if (lengths == 1) {
        head.content_length = parse_decimal(to_std_view(header[http::field::content_length]));
        if (!head.content_length.has_value()) {
            return absl::InvalidArgumentError("the Content-Length field is not a number");
        }
        head.has_body = *head.content_length > 0;
    }
    if (codings > 0) {
        const std::string_view coding = to_std_view(header[http::field::transfer_encoding]);
        if (codings > 1 || !equals_ignore_case(coding, "chunked") || header.version() < 11) {
            return absl::InvalidArgumentError("the Transfer-Encoding is not supported");
        }
        head.has_body = true;
    }
    const std::string_view expect = to_std_view(header[http::field::expect]);
    if (!expect.empty() && !equals_ignore_case(expect, "100-continue")) {
        return absl::InvalidArgumentError("the Expect field is not 100-continue");
    }
    return absl::OkStatus();
}

boost::beast::string_view to_beast_view(std::string_view text) {
    return {text.data(), text.size()};
}

absl::Status parse_timeout(const request_header& header, steady_time now,
                           std::chrono::milliseconds max_timeout, const http_dialect& dialect,
                           request_head& head) {
    std::chrono::milliseconds timeout = max_timeout;
    if (header.count(to_beast_view(dialect.timeout_ms_field)) == 1) {
        const std::optional<std::uint64_t> requested_ms =
            parse_decimal(to_std_view(header[to_beast_view(dialect.timeout_ms_field)]));
        if (!requested_ms.has_value()) {
            return absl::InvalidArgumentError(dialect.timeout_ms_field + " is not a number of milliseconds");
        }
        const auto max_timeout_ms = static_cast<std::uint64_t>(max_timeout.count());
        timeout = std::chrono::milliseconds(std::min(*requested_ms, max_timeout_ms));
    }
    head.deadline = now + timeout;
    return absl::OkStatus();
}

absl::Status parse_fleet_fields(const request_header& header, steady_time now,
                                std::chrono::milliseconds max_timeout, const http_dialect& dialect,
                                request_head& head) {
    for (const std::string_view name :
         {std::string_view("Teaselpitch-Account"), std::string_view("Idempotency-Key"),
          std::string_view("Teaselpitch-Attempt"), std::string_view(dialect.timeout_ms_field),
          std::string_view(dialect.request_id_field)}) {
        if (header.count(to_beast_view(name)) > 1) {
            return absl::InvalidArgumentError("more than one " + std::string(name) + " field");
        }
    }
    head.account = to_std_view(header["Teaselpitch-Account"]);
    head.idempotency_key = to_std_view(header["Idempotency-Key"]);
    head.first_send = to_std_view(header["Teaselpitch-Attempt"]) == "1";
    if (absl::Status status = parse_timeout(header, now, max_timeout, dialect, head); !status.ok()) {
        return status;
    }
    if (dialect.callers_set_request_id) {
        head.request_id = to_std_view(header[to_beast_view(dialect.request_id_field)]);
        if (head.request_id.empty()) {
            return absl::InvalidArgumentError("the " + dialect.request_id_field + " field is missing");
        }
    }
    // The fleet sets these fields itself, so the caller's values are removed.
    std::erase_if(head.headers, [&dialect](const header_field& field) {
        return equals_ignore_case(field.name, dialect.timeout_ms_field) ||
               equals_ignore_case(field.name, dialect.request_id_field) ||
               equals_ignore_case(field.name, dialect.expected_target_field) ||
               equals_ignore_case(field.name, dialect.caller_service_field);
    });
    return absl::OkStatus();
}

}  // namespace

std::optional<std::string> find_header_error(std::string_view block) {
    std::size_t line_start = 0;
    for (std::size_t i = 0; i < block.size(); ++i) {
        const auto byte = static_cast<unsigned char>(block[i]);
        if (byte == '\r') {
            if (i + 1 < block.size() && block[i + 1] != '\n') {
                return "a line ends without CR LF";
            }
        } else if (byte == '\n') {
            if (i == 0 || block[i - 1] != '\r') {
                return "a line ends without CR LF";
            }
            line_start = i + 1;
        } else if ((byte < 0x20 && byte != '\t') || byte == 0x7f) {
            return "the header contains a control byte";
        } else if (i == line_start && (byte == ' ' || byte == '\t')) {
            return "a header line starts with white space";
        }
        if (i - line_start >= max_header_line_bytes && i >= line_start) {
            return "a header line exceeds the length limit";
        }
    }
    return std::nullopt;
}

bool is_hop_by_hop(std::string_view name) {
    return contains_ignore_case(hop_by_hop_names, name);
}

bool is_fleet_answer_field(std::string_view name) {
    return contains_ignore_case(fleet_answer_names, name);
}

std::vector<header_field> end_to_end_fields(const http::fields& fields) {
    std::vector<std::string> connection_tokens;
    const auto range = fields.equal_range(http::field::connection);
    for (auto field = range.first; field != range.second; ++field) {
        const std::string_view value = to_std_view(field->value());
        for (const absl::string_view token :
             absl::StrSplit(absl::string_view(value.data(), value.size()), ',')) {
            connection_tokens.emplace_back(absl::StripAsciiWhitespace(token));
        }
    }
    std::vector<header_field> end_to_end;
    for (const auto& field : fields) {
        const std::string_view name = to_std_view(field.name_string());
        if (!is_hop_by_hop(name) && !contains_ignore_case(connection_tokens, name) &&
            !equals_ignore_case(name, "content-length")) {
            end_to_end.push_back({std::string(name), std::string(to_std_view(field.value()))});
        }
    }
    return end_to_end;
}

absl::StatusOr<request_head> make_request_head(const request_header& header, steady_time now,
                                               std::chrono::milliseconds max_timeout,
                                               const http_dialect& dialect) {
    request_head head;
    head.method = to_std_view(header.method_string());
    head.headers = end_to_end_fields(header);
    std::string authority;
    absl::Status status = parse_request_target(header, head.path, authority);
    if (status.ok()) {
        status = parse_host(header, authority, head);
    }
    if (status.ok()) {
        status = parse_framing(header, head);
    }
    if (status.ok()) {
        status = parse_fleet_fields(header, now, max_timeout, dialect, head);
    }
    if (!status.ok()) {
        return status;
    }
    return head;
}

}  // namespace teaselpitch
