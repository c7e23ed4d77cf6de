#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace teaselpitch {

/// Reader of delimiter-separated records according to RFC 4180. Accepts LF and CRLF line ends.
class csv_reader {
public:
    /// Skips a byte order mark. The text must outlive the reader.
    explicit csv_reader(std::string_view text);

    [[nodiscard]] bool at_end() const { return position_ == text_.size(); }

    /// Line number of the next record, starting at 1.
    [[nodiscard]] std::size_t line() const { return line_; }

    /// Unparsed text of the next line, without its line end.
    [[nodiscard]] std::string_view peek_line() const;

    void skip_line();

    /// Reads one record, which may span lines inside quotes. Cells are trimmed unless quoted. Returns false
    /// when a quoted cell has no closing quote; the rest of the text is then consumed.
    bool read(char delimiter, std::vector<std::string>& cells);

private:
    bool read_cell(char delimiter, std::string& cell);
    bool read_quoted(std::string& cell);

    std::string_view text_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
};

/// Appends one record with an LF line end. Quotes cells with delimiters, quotes or white space.
void append_csv_record(std::string& text, const std::vector<std::string>& cells);

}  // namespace teaselpitch
