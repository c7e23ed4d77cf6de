#include "servers/table/table_csv.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <map>
#include <utility>

#include "servers/table/columns.h"
#include "servers/table/csv_reader.h"
#include "servers/table/table_validation.h"

namespace teaselpitch {
namespace {

constexpr std::string_view version_comment = "# version:";

// Removes the delimiters, quotes and spaces that spreadsheets add around a line with a single cell.
std::string_view strip_padding(std::string_view line) {
    constexpr std::string_view padding = " \t,;\"";
    const std::size_t first = line.find_first_not_of(padding);
    if (first == std::string_view::npos) {
        return {};
    }
    return line.substr(first, line.find_last_not_of(padding) - first + 1);
}

char detect_delimiter(std::string_view header) {
    for (const char candidate : {';', '\t'}) {
        if (header.find(candidate) != std::string_view::npos) {
            return candidate;
        }
    }
    return ',';
}

class table_parser {
public:
    explicit table_parser(std::string_view text) : reader_(text) {}

    parsed_table parse() {
        while (!reader_.at_end()) {
            parse_line();
        }
        for (const row_kind kind : row_kinds) {
            if (!seen_sections_[index_of(kind)]) {
                add_issue({kind, "", "", "the section [" + std::string(to_string(kind)) + "] is missing", 0});
            }
        }
        result_.value = table().with_changes(rows_, result_.base_version.value_or(0));
        for (table_issue& issue : find_contradictions(result_.value)) {
            issue.line = find_line(issue);
            add_issue(std::move(issue));
        }
        return std::move(result_);
    }

private:
    static std::size_t index_of(row_kind kind) { return static_cast<std::size_t>(kind); }

    void add_issue(table_issue issue) { result_.issues.push_back(std::move(issue)); }

    void parse_line() {
        const std::string_view line = strip_padding(reader_.peek_line());
        if (line.empty()) {
            reader_.skip_line();
        } else if (line.front() == '#') {
            parse_comment(line);
            reader_.skip_line();
        } else if (line.front() == '[') {
            start_section(line);
            reader_.skip_line();
        } else if (!in_section_) {
            add_issue({section_, "", "", "the line is outside of the sections", reader_.line()});
            reader_.skip_line();
        } else if (column_indexes_.empty()) {
            parse_header();
        } else {
            parse_data();
        }
    }

    void parse_comment(std::string_view line) {
        if (!line.starts_with(version_comment)) {
            return;
        }
        line.remove_prefix(version_comment.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t version = 0;
        const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), version);
        if (error != std::errc{} || end != line.data() + line.size()) {
            add_issue({section_, "", "", "the version comment has no valid number", reader_.line()});
            return;
        }
        result_.base_version = version;
    }

    void start_section(std::string_view line) {
        const auto kind = line.back() == ']' ? parse_row_kind(line.substr(1, line.size() - 2)) : std::nullopt;
        column_indexes_.clear();
        in_section_ = kind.has_value();
        if (!kind) {
            add_issue({section_, "", "", "unknown section " + std::string(line), reader_.line()});
            return;
        }
        section_ = *kind;
        if (std::exchange(seen_sections_[index_of(*kind)], true)) {
            add_issue({*kind, "", "", "the section occurs more than once", reader_.line()});
        }
    }

    void parse_header() {
        const std::size_t line = reader_.line();
        delimiter_ = detect_delimiter(reader_.peek_line());
        std::vector<std::string> names;
        if (!reader_.read(delimiter_, names)) {
            add_issue({section_, "", "", "a quoted cell has no end quote", line});
            return;
        }
        const auto& columns = columns_of(section_);
        std::vector<bool> present(columns.size());
        for (const std::string& name : names) {
            const auto found = std::find_if(columns.begin(), columns.end(),
                                            [&name](const column& c) { return c.name == name; });
            const auto index = static_cast<std::size_t>(found - columns.begin());
            column_indexes_.push_back(index);
            if (found == columns.end()) {
                if (!name.empty()) {
                    add_issue({section_, "", name, "unknown column", line});
                }
            } else if (present[index]) {
                add_issue({section_, "", name, "the column occurs more than once", line});
            } else {
                present[index] = true;
            }
        }
        for (std::size_t i = 0; i < columns.size(); ++i) {
            if (!present[i] && (columns[i].key || columns[i].required)) {
                add_issue({section_, "", std::string(columns[i].name), "the column is missing", line});
            }
        }
    }

    void parse_data() {
        const std::size_t line = reader_.line();
        std::vector<std::string> cells;
        if (!reader_.read(delimiter_, cells)) {
            add_issue({section_, cells.front(), "", "a quoted cell has no end quote", line});
            return;
        }
        std::vector<table_issue> issues;
        any_row row = parse_row(section_, reorder_cells(cells, issues), issues);
        const bool valid = issues.empty();
        for (table_issue& issue : issues) {
            issue.line = line;
            add_issue(std::move(issue));
        }
        if (valid) {
            add_row(std::move(row), line);
        }
    }

    std::vector<std::string> reorder_cells(const std::vector<std::string>& cells,
                                           std::vector<table_issue>& issues) const {
        std::vector<std::string> ordered(columns_of(section_).size());
        for (std::size_t i = 0; i < cells.size(); ++i) {
            if (i < column_indexes_.size() && column_indexes_[i] < ordered.size()) {
                ordered[column_indexes_[i]] = cells[i];
            } else if (!cells[i].empty() && i >= column_indexes_.size()) {
                issues.push_back({section_, cells.front(), "",
                                  "cell " + std::to_string(i + 1) + " has no column in the header", 0});
            }
        }
        return ordered;
    }

    void add_row(any_row row, std::size_t line) {
        const row_kind kind = kind_of(row);
        const std::string key = format_key(kind, key_of(row));
        const auto [existing, added] = line_by_key_.try_emplace({kind, key}, line);
        if (!added) {
            add_issue(
                {kind, key, "", "the key already occurs in line " + std::to_string(existing->second), line});
            return;
        }
        rows_.push_back({std::move(row), false});
    }

    std::size_t find_line(const table_issue& issue) const {
        const auto found = line_by_key_.find({issue.kind, issue.key});
        return found == line_by_key_.end() ? 0 : found->second;
    }

    csv_reader reader_;
    parsed_table result_;
    std::vector<row_change> rows_;
    std::map<std::pair<row_kind, std::string>, std::size_t> line_by_key_;
    std::array<bool, row_kinds.size()> seen_sections_{};
    row_kind section_ = row_kind::service;
    bool in_section_ = false;
    std::vector<std::size_t>
        column_indexes_;  // Column index of each cell; the number of columns for an unknown column.
    char delimiter_ = ',';
};

template <typename Row>
void write_section(std::string& text, const table& value) {
    text += "[" + std::string(to_string(Row::kind)) + "]\n";
    std::vector<std::string> names;
    for (const column& description : columns_of(Row::kind)) {
        names.emplace_back(description.name);
    }
    append_csv_record(text, names);
    for (const Row* row : value.rows<Row>().sorted()) {
        append_csv_record(text, cells_of(*row));
    }
}

}  // namespace

parsed_table parse_table_csv(std::string_view text) {
    return table_parser(text).parse();
}

std::string write_table_csv(const table& value) {
    std::string text(version_comment);
    text += " " + std::to_string(value.version()) + "\n";
    write_section<service_row>(text, value);
    text += '\n';
    write_section<route_row>(text, value);
    text += '\n';
    write_section<account_row>(text, value);
    return text;
}

}  // namespace teaselpitch
