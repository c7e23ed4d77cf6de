#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace teaselpitch {

/// Splits delimiter-separated text into records by the rules of RFC 4180; accepts LF and CRLF.
class csv_reader {
public:
    /// Skips a byte order mark. The text must outlive the reader.
    explicit csv_reader(std::string_view text);

    [[nodiscard]] bool at_end() const { return position_ == text_.size(); }

    /// Line of the next record, from 1.
    [[nodiscard]] std::size_t line() const { return line_; }

    /// The next line as it stands, without its line end.
    [[nodiscard]] std::string_view peek_line() const;

    void skip_line();

    /// Reads one record, which may span lines inside quotes. Cells are trimmed unless quoted. Returns
    /// false when a quoted cell does not end; the rest of the text is then consumed.
    bool read(char delimiter, std::vector<std::string>& cells);

private:
    bool read_cell(char delimiter, std::string& cell);
    bool read_quoted(std::string& cell);

    std::string_view text_;
    std::size_t position_ = 0;
    std::size_t line_ = 1;
};

/// Writes one record with LF; quotes a cell that needs it.
void append_csv_record(std::string& text, const std::vector<std::string>& cells);

}  // namespace teaselpitch
