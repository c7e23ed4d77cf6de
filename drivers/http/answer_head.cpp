#include "drivers/http/answer_head.h"

#include "absl/strings/match.h"
#include "servers/exchange/field_syntax.h"

namespace teaselpitch {
namespace {

bool equals_ignore_case(std::string_view left, std::string_view right) {
    return absl::EqualsIgnoreCase(absl::string_view(left.data(), left.size()),
                                  absl::string_view(right.data(), right.size()));
}

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

std::string_view strip_blanks(std::string_view text) {
    const std::size_t first = text.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(" \t") - first + 1);
}

}  // namespace

std::optional<std::string> answer_head_checker::check(std::string_view block) {
    while (position_ < block.size() && !complete_) {
        if (auto error = check_byte(block)) {
            return error;
        }
        ++position_;
    }
    return std::nullopt;
}

std::optional<std::string> answer_head_checker::check_byte(std::string_view block) {
    const char c = block[position_];
    const bool after_return = position_ > line_start_ && block[position_ - 1] == '\r';
    if (after_return != (c == '\n')) {
        return "a line ends without CR LF";
    }
    if (c == '\n') {
        return end_line(block.substr(line_start_, position_ - 1 - line_start_));
    }
    const std::size_t offset = position_ - line_start_;
    return line_start_ == 0 ? check_status_line_byte(c, offset) : check_field_byte(c, offset);
}

std::optional<std::string> answer_head_checker::check_status_line_byte(char c, std::size_t offset) const {
    constexpr std::string_view pattern = "HTTP/1.# ### ";
    constexpr std::size_t status_offset = 9;
    if (offset >= pattern.size()) {
        return c == '\r' || is_field_value({&c, 1})
                   ? std::nullopt
                   : std::optional<std::string>("the reason phrase contains a control byte");
    }
    const bool matches = pattern[offset] == '#' ? is_digit(c) : c == pattern[offset];
    if (!matches) {
        return "the status line is not valid";
    }
    if (offset == status_offset && c == '0') {
        return "the status is below 100";
    }
    return std::nullopt;
}

std::optional<std::string> answer_head_checker::check_field_byte(char c, std::size_t offset) {
    if (offset == 0) {
        if (c == '\r') {
            return std::nullopt;  // The empty line at the end of the head.
        }
        in_name_ = true;
    }
    if (!in_name_) {
        return c == '\r' || is_field_value({&c, 1})
                   ? std::nullopt
                   : std::optional<std::string>("a field value contains a control byte");
    }
    if (c == ':' && offset > 0) {
        in_name_ = false;
        return std::nullopt;
    }
    if (offset == 0 && (c == ' ' || c == '\t')) {
        return "a header line starts with white space";
    }
    return is_token_char(c)
               ? std::nullopt
               : std::optional<std::string>("a field name is empty or contains a byte that is not allowed");
}

std::optional<std::string> answer_head_checker::end_line(std::string_view line) {
    const bool is_status_line = line_start_ == 0;
    line_start_ = position_ + 1;
    if (is_status_line) {
        constexpr std::size_t minor_version_offset = 7;
        is_http_1_0_ = line[minor_version_offset] == '0';
        return std::nullopt;
    }
    if (line.empty()) {
        complete_ = true;
        return std::nullopt;
    }
    const std::size_t colon = line.find(':');
    return check_framing_field(line.substr(0, colon), strip_blanks(line.substr(colon + 1)));
}

// An answer whose fields leave its end open to interpretation could be cut differently by each reader.
std::optional<std::string> answer_head_checker::check_framing_field(std::string_view name,
                                                                    std::string_view value) {
    if (equals_ignore_case(name, "content-length")) {
        if (has_length_) {
            return "more than one Content-Length field";
        }
        has_length_ = true;
        if (!parse_decimal(value).has_value()) {
            return "the Content-Length field is not a number";
        }
    } else if (equals_ignore_case(name, "transfer-encoding")) {
        if (has_coding_ || is_http_1_0_ || !equals_ignore_case(value, "chunked")) {
            return "the Transfer-Encoding is not supported";
        }
        has_coding_ = true;
    }
    if (has_length_ && has_coding_) {
        return "both a Content-Length and a Transfer-Encoding field";
    }
    return std::nullopt;
}

}  // namespace teaselpitch
