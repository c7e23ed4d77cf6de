#include "main/ctl/table_json.h"

#include <cstdint>
#include <string>
#include <string_view>

#include "servers/table/columns.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

json::value cell_to_json(const column& description, const std::string& cell) {
    if (description.type == column_type::integer) {
        return std::stoull(cell);
    }
    if (description.type == column_type::decimal) {
        return std::stod(cell);
    }
    return json::value(cell);
}

json::string_view to_json_view(std::string_view text) {
    return {text.data(), text.size()};
}

template <typename Row>
json::array rows_to_json(const table& value) {
    json::array rows;
    for (const Row* row : value.rows<Row>().sorted()) {
        rows.push_back(to_json(any_row(*row)));
    }
    return rows;
}

}  // namespace

json::object to_json(const any_row& row) {
    json::object object;
    const std::vector<std::string> cells = cells_of(row);
    const std::vector<column>& columns = columns_of(kind_of(row));
    for (std::size_t i = 0; i < columns.size(); ++i) {
        object[to_json_view(columns[i].name)] = cell_to_json(columns[i], cells[i]);
    }
    return object;
}

json::object to_json(const table& value) {
    return {{"version", value.version()},
            {"service", rows_to_json<service_row>(value)},
            {"route", rows_to_json<route_row>(value)},
            {"account", rows_to_json<account_row>(value)}};
}

json::array to_json(const std::vector<row_difference>& differences) {
    json::array array;
    for (const row_difference& difference : differences) {
        json::array cells;
        for (const cell_difference& cell : difference.cells) {
            cells.push_back(
                json::object{{"column", cell.column}, {"before", cell.old_value}, {"after", cell.new_value}});
        }
        array.push_back(json::object{{"kind", to_json_view(to_string(difference.kind))},
                                     {"key", difference.key},
                                     {"change", to_json_view(to_string(difference.type))},
                                     {"cells", std::move(cells)}});
    }
    return array;
}

json::array to_json(const std::vector<table_issue>& issues) {
    json::array array;
    for (const table_issue& issue : issues) {
        array.push_back(json::object{{"line", issue.line},
                                     {"kind", to_json_view(to_string(issue.kind))},
                                     {"key", issue.key},
                                     {"column", issue.column},
                                     {"reason", issue.reason}});
    }
    return array;
}

json::object to_json(const edit_result& result) {
    return {{"edit_id", result.edit_id},
            {"author", result.author},
            {"accepted", result.accepted},
            {"version", result.version},
            {"reason", result.reason}};
}

json::array to_json(const std::vector<history_entry>& entries) {
    json::array array;
    for (const history_entry& entry : entries) {
        json::object object = to_json(entry.result);
        object["base_version"] = entry.base_version;
        object["comment"] = entry.comment;
        object["changes"] = json::array(entry.changes.begin(), entry.changes.end());
        array.push_back(std::move(object));
    }
    return array;
}

}  // namespace teaselpitch
