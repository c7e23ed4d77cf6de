#include "servers/table/csv_reader.h"

#include "absl/strings/str_replace.h"

namespace teaselpitch {
namespace {

constexpr std::string_view byte_order_mark = "\xef\xbb\xbf";

std::string_view trim(std::string_view text) {
    constexpr std::string_view blank = " \t\r";
    const std::size_t first = text.find_first_not_of(blank);
    if (first == std::string_view::npos) {
        return {};
    }
    return text.substr(first, text.find_last_not_of(blank) - first + 1);
}

}  // namespace

csv_reader::csv_reader(std::string_view text) : text_(text) {
    if (text_.starts_with(byte_order_mark)) {
        text_.remove_prefix(byte_order_mark.size());
    }
}

std::string_view csv_reader::peek_line() const {
    std::string_view line = text_.substr(position_);
    line = line.substr(0, line.find('\n'));
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    return line;
}

void csv_reader::skip_line() {
    const std::size_t end = text_.find('\n', position_);
    position_ = end == std::string_view::npos ? text_.size() : end + 1;
    ++line_;
}

bool csv_reader::read(char delimiter, std::vector<std::string>& cells) {
    cells.clear();
    for (;;) {
        std::string cell;
        const bool closed = read_cell(delimiter, cell);
        cells.push_back(std::move(cell));
        if (!closed) {
            return false;
        }
        if (at_end()) {
            return true;
        }
        const char separator = text_[position_++];
        if (separator == '\n') {
            ++line_;
            return true;
        }
    }
}

// Stops at the delimiter, the line end or the end of the text.
bool csv_reader::read_cell(char delimiter, std::string& cell) {
    while (!at_end() && text_[position_] == ' ') {
        ++position_;
    }
    const bool quoted = !at_end() && text_[position_] == '"';
    if (quoted && !read_quoted(cell)) {
        return false;
    }
    const std::size_t start = position_;
    while (!at_end() && text_[position_] != delimiter && text_[position_] != '\n') {
        ++position_;
    }
    cell += trim(text_.substr(start, position_ - start));
    return true;
}

bool csv_reader::read_quoted(std::string& cell) {
    for (++position_; !at_end(); ++position_) {
        const char c = text_[position_];
        if (c == '\n') {
            ++line_;
        }
        if (c != '"') {
            cell += c;
        } else if (position_ + 1 < text_.size() && text_[position_ + 1] == '"') {
            cell += c;
            ++position_;
        } else {
            ++position_;
            return true;
        }
    }
    return false;
}

void append_csv_record(std::string& text, const std::vector<std::string>& cells) {
    bool first = true;
    for (const std::string& cell : cells) {
        if (!first) {
            text += ',';
        }
        first = false;
        if (cell.find_first_of(",;\t\"\r\n ") == std::string::npos) {
            text += cell;
        } else {
            text += '"' + absl::StrReplaceAll(cell, {{"\"", "\"\""}}) + '"';
        }
    }
    text += '\n';
}

}  // namespace teaselpitch
