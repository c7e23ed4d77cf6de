#include "servers/table/columns.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstddef>
#include <optional>
#include <variant>

namespace teaselpitch {
namespace {

template <typename Row>
using row_field = std::variant<std::string Row::*, std::uint32_t Row::*, double Row::*,
                               detection_policy Row::*, non_idempotent_rule Row::*, route_access Row::*>;

template <typename Row>
struct bound_column {
    column description;
    row_field<Row> field;
};

template <typename Row>
using bound_columns = std::vector<bound_column<Row>>;

template <typename Enum>
const std::array<std::string_view, 3>& choice_names() {
    static const std::array<std::string_view, 3> names{
        to_string(static_cast<Enum>(0)), to_string(static_cast<Enum>(1)), to_string(static_cast<Enum>(2))};
    return names;
}

const std::array<std::string_view, 2>& access_names() {
    static const std::array<std::string_view, 2> names{to_string(route_access::accounts),
                                                       to_string(route_access::everyone)};
    return names;
}

constexpr double max_name_length = 100;
constexpr double max_path_length = 1'000;
constexpr double hour_ms = 3'600'000;
constexpr double max_count = 1'000'000;

// Sets the default texts from the member initialisers of the row type.
template <typename Row>
bound_columns<Row> with_defaults(bound_columns<Row> columns);

template <typename Row>
const bound_columns<Row>& bound_columns_of();

template <>
const bound_columns<service_row>& bound_columns_of<service_row>() {
    using row = service_row;
    using type = column_type;
    static const auto columns = with_defaults<row>({
        {{"service", type::name, true, true, 1, max_name_length, {}, "", "Name of the service."},
         &row::service},
        {{"availability_zone",
          type::name_or_any,
          true,
          false,
          1,
          max_name_length,
          {},
          "",
          "Availability zone of the row; * for each zone without a row of its own."},
         &row::availability_zone},
        {{"weight",
          type::integer,
          false,
          false,
          0,
          10'000,
          {},
          "",
          "Relative share of the service's requests that the zone's targets receive; 0 disables the zone."},
         &row::weight},
        {{"limit",
          type::integer,
          false,
          false,
          0,
          max_count,
          {},
          "",
          "Maximum number of concurrent requests of the service in the zone; 0 is no limit."},
         &row::limit},
        {{"floor",
          type::integer,
          false,
          false,
          0,
          100,
          {},
          "",
          "Minimum percentage of healthy capacity that ejection must leave."},
         &row::floor},
        {{"detection_policy", type::choice, false, false, 0, 0, choice_names<detection_policy>(), "",
          "How quickly a target is ejected; cautious ejects late, fast ejects early."},
         &row::policy},
        {{"timeout_ms",
          type::integer,
          false,
          false,
          1,
          hour_ms,
          {},
          "",
          "Maximum duration of a request in milliseconds."},
         &row::timeout_ms},
        {{"queue_ms",
          type::integer,
          false,
          false,
          0,
          60'000,
          {},
          "",
          "Maximum wait for a free slot at a gate in milliseconds."},
         &row::queue_ms},
        {{"retry_budget_pct",
          type::integer,
          false,
          false,
          0,
          100,
          {},
          "",
          "Retries as a percentage of recent successes."},
         &row::retry_budget_pct},
        {{"objective_pct",
          type::decimal,
          false,
          false,
          0,
          100,
          {},
          "",
          "Percentage of requests that must succeed for the service-level objective."},
         &row::objective_pct},
        {{"objective_latency_ms",
          type::integer,
          false,
          false,
          0,
          hour_ms,
          {},
          "",
          "Latency in milliseconds above which a request misses the objective; 0 is no limit."},
         &row::objective_latency_ms},
        {{"health_path",
          type::path,
          false,
          false,
          1,
          max_path_length,
          {},
          "",
          "Path of the health check that a node sends to a target."},
         &row::health_path},
        {{"connections",
          type::integer,
          false,
          false,
          0,
          max_count,
          {},
          "",
          "Maximum number of connections to a target from all nodes; 0 is no limit."},
         &row::connections},
    });
    return columns;
}

template <>
const bound_columns<route_row>& bound_columns_of<route_row>() {
    using row = route_row;
    using type = column_type;
    static const auto columns = with_defaults<row>({
        {{"host", type::host, true, false, 1, 253, {}, "", "Host of the request; * for any host."},
         &row::host},
        {{"path_prefix",
          type::path,
          true,
          true,
          1,
          max_path_length,
          {},
          "",
          "Prefix of the request path; the longest one that matches selects the route."},
         &row::path_prefix},
        {{"service",
          type::name,
          false,
          true,
          1,
          max_name_length,
          {},
          "",
          "Service that answers the requests."},
         &row::service},
        {{"non_idempotent", type::choice, false, false, 0, 0, choice_names<non_idempotent_rule>(), "",
          "Whether a request may run only once; auto decides by method (POST and PATCH)."},
         &row::non_idempotent},
        {{"timeout_ms",
          type::integer,
          false,
          false,
          0,
          hour_ms,
          {},
          "",
          "Maximum duration of a request in milliseconds; 0 uses the value of the service."},
         &row::timeout_ms},
        {{"attempts",
          type::integer,
          false,
          false,
          1,
          100,
          {},
          "",
          "Maximum number of targets that one request may be sent to."},
         &row::attempts},
        {{"objective_ms",
          type::integer,
          false,
          false,
          0,
          hour_ms,
          {},
          "",
          "Latency in milliseconds above which an answer is late; 0 uses the objective of the "
          "service."},
         &row::objective_ms},
        {{"priority",
          type::integer,
          false,
          false,
          0,
          100,
          {},
          "",
          "Priority of the requests; a lower number is served first."},
         &row::priority},
        {{"split",
          type::token,
          false,
          false,
          0,
          max_path_length,
          {},
          "",
          "Shares of the services as SERVICE:WEIGHT|...; blank sends all requests to the service."},
         &row::split},
        {{"access", type::choice, false, false, 0, 0, access_names(), "",
          "Whether everyone may send requests, or only client accounts; without accounts everyone may."},
         &row::access},
    });
    return columns;
}

template <>
const bound_columns<account_row>& bound_columns_of<account_row>() {
    using row = account_row;
    using type = column_type;
    static const auto columns = with_defaults<row>({
        {{"account", type::token, true, true, 1, max_name_length, {}, "", "Name of the client account."},
         &row::account},
        {{"service",
          type::name_or_any,
          true,
          false,
          1,
          max_name_length,
          {},
          "",
          "Service that the rate applies to; * for all services without a row of their own."},
         &row::service},
        {{"requests_per_s",
          type::integer,
          false,
          true,
          0,
          max_count,
          {},
          "",
          "Maximum requests per second of the account; 0 refuses every request."},
         &row::requests_per_s},
    });
    return columns;
}

std::string format_cell(const std::string& value) {
    return value;
}

std::string format_cell(std::uint32_t value) {
    return std::to_string(value);
}

std::string format_cell(double value) {
    std::array<char, 400> buffer{};
    const auto end =
        std::to_chars(buffer.data(), buffer.data() + buffer.size(), value, std::chars_format::fixed);
    return {buffer.data(), end.ptr};
}

template <typename Enum>
requires std::is_enum_v<Enum> std::string format_cell(Enum value) {
    return std::string(to_string(value));
}

template <typename Row>
std::string format_field(const Row& row, const row_field<Row>& field) {
    return std::visit([&row](auto member) { return format_cell(row.*member); }, field);
}

template <typename Row>
bound_columns<Row> with_defaults(bound_columns<Row> columns) {
    const Row row;
    for (auto& [description, field] : columns) {
        if (!description.required) {
            description.default_text = format_field(row, field);
        }
    }
    return columns;
}

bool is_alphanumeric(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9');
}

bool is_allowed_character(column_type type, char c) {
    const bool printable = c > ' ' && c < 0x7f;
    switch (type) {
        case column_type::name:
        case column_type::name_or_any:
            return is_alphanumeric(c) || c == '.' || c == '_' || c == '-';
        case column_type::host:
            return (is_alphanumeric(c) && (c < 'A' || c > 'Z')) || c == '.' || c == '-' || c == '_';
        case column_type::path:
            return printable && c != '?' && c != '#' && c != '"';
        default:
            // '#' and '[' start comments and sections in the text form.
            return printable && std::string_view("\",;*#[").find(c) == std::string_view::npos;
    }
}

using cell_error = std::optional<std::string>;

cell_error invalid_cell_error(const column& description, std::string_view text) {
    return fmt::format("\"{}\" is not {}", text, describe_values(description));
}

cell_error parse_cell(const column& description, std::string_view text, std::string& out) {
    const bool is_wildcard = text == wildcard && (description.type == column_type::name_or_any ||
                                                  description.type == column_type::host);
    const bool allowed = std::all_of(text.begin(), text.end(), [&description](char c) {
        return is_allowed_character(description.type, c);
    });
    const bool has_valid_start = description.type != column_type::path || text.front() == '/';
    if (!is_wildcard &&
        (!allowed || !has_valid_start || static_cast<double>(text.size()) > description.maximum)) {
        return invalid_cell_error(description, text);
    }
    out = text;
    return std::nullopt;
}

template <typename Number>
requires std::is_arithmetic_v<Number> cell_error parse_cell(const column& description, std::string_view text,
                                                            Number& out) {
    Number value{};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    const bool fully_parsed = error == std::errc{} && end == text.data() + text.size();
    const auto number = static_cast<double>(value);
    if (!fully_parsed || !std::isfinite(number) || number < description.minimum ||
        number > description.maximum) {
        return invalid_cell_error(description, text);
    }
    out = value;
    return std::nullopt;
}

template <typename Enum>
requires std::is_enum_v<Enum> cell_error parse_cell(const column& description, std::string_view text,
                                                    Enum& out) {
    const auto found = std::find(description.choices.begin(), description.choices.end(), text);
    if (found == description.choices.end()) {
        return invalid_cell_error(description, text);
    }
    out = static_cast<Enum>(found - description.choices.begin());
    return std::nullopt;
}

// Parses one cell into its field; a blank cell keeps the default.
template <typename Row>
cell_error parse_field(const bound_column<Row>& bound, std::string_view text, Row& row) {
    if (text.empty()) {
        return bound.description.required ? cell_error("the cell is blank and has no default") : std::nullopt;
    }
    return std::visit([&](auto member) { return parse_cell(bound.description, text, row.*member); },
                      bound.field);
}

template <typename Row>
any_row parse_typed_row(std::span<const std::string> cells, bool keys_only,
                        std::vector<table_issue>& issues) {
    const bound_columns<Row>& columns = bound_columns_of<Row>();
    const std::size_t first_issue = issues.size();
    Row row;
    std::vector<std::string_view> keys;
    for (std::size_t i = 0; i < columns.size(); ++i) {
        const std::string_view text = i < cells.size() ? std::string_view(cells[i]) : std::string_view();
        const column& description = columns[i].description;
        if (keys_only && !description.key) {
            continue;
        }
        if (description.key) {
            keys.push_back(text.empty() ? std::string_view(description.default_text) : text);
        }
        if (auto error = parse_field(columns[i], text, row)) {
            issues.push_back({Row::kind, "", std::string(description.name), std::move(*error), 0});
        }
    }
    for (std::size_t i = columns.size(); i < cells.size(); ++i) {
        if (!cells[i].empty()) {
            issues.push_back({Row::kind, "", "", fmt::format("cell {} has no column", i + 1), 0});
        }
    }
    for (std::size_t i = first_issue; i < issues.size(); ++i) {
        issues[i].key = format_key(Row::kind, {keys[0], keys[1]});
    }
    return row;
}

any_row parse_row_of_kind(row_kind kind, std::span<const std::string> cells, bool keys_only,
                          std::vector<table_issue>& issues) {
    switch (kind) {
        case row_kind::service:
            return parse_typed_row<service_row>(cells, keys_only, issues);
        case row_kind::route:
            return parse_typed_row<route_row>(cells, keys_only, issues);
        case row_kind::account:
            break;
    }
    return parse_typed_row<account_row>(cells, keys_only, issues);
}

template <typename Row>
std::vector<column> column_descriptions() {
    std::vector<column> result;
    for (const auto& bound : bound_columns_of<Row>()) {
        result.push_back(bound.description);
    }
    return result;
}

}  // namespace

const std::vector<column>& columns_of(row_kind kind) {
    static const std::array<std::vector<column>, 3> all{column_descriptions<service_row>(),
                                                        column_descriptions<route_row>(),
                                                        column_descriptions<account_row>()};
    return all[static_cast<std::size_t>(kind)];
}

std::string describe_values(const column& description) {
    const auto max_length = static_cast<std::uint64_t>(description.maximum);
    switch (description.type) {
        case column_type::name:
            return fmt::format("a name of at most {} letters, digits, '.', '_' and '-'", max_length);
        case column_type::name_or_any:
            return fmt::format("* or a name of at most {} letters, digits, '.', '_' and '-'", max_length);
        case column_type::token:
            return fmt::format(
                "at most {} printable characters other than space, quote, comma, semicolon, *, # and [",
                max_length);
        case column_type::host:
            return fmt::format("* or a lower-case host name of at most {} characters", max_length);
        case column_type::path:
            return fmt::format(
                "a path of at most {} characters that starts with / and has no spaces, quotes, ? or #",
                max_length);
        case column_type::integer:
            return fmt::format("an integer from {} to {}", description.minimum, max_length);
        case column_type::decimal:
            return fmt::format("a number from {} to {}", description.minimum, description.maximum);
        case column_type::choice:
            break;
    }
    std::vector<std::string_view> names(description.choices.begin(), description.choices.end());
    std::erase(names, std::string_view());  // A blank cell is a default, which is described on its own.
    return fmt::format("one of {}", fmt::join(names, ", "));
}

any_row parse_row(row_kind kind, std::span<const std::string> cells, std::vector<table_issue>& issues) {
    return parse_row_of_kind(kind, cells, false, issues);
}

any_row parse_row_key(row_kind kind, std::span<const std::string> cells, std::vector<table_issue>& issues) {
    return parse_row_of_kind(kind, cells, true, issues);
}

std::vector<std::string> cells_of(const any_row& row) {
    return std::visit(
        []<typename Row>(const Row& typed) {
            std::vector<std::string> cells;
            for (const auto& bound : bound_columns_of<Row>()) {
                cells.push_back(format_field(typed, bound.field));
            }
            return cells;
        },
        row);
}

std::string describe_columns() {
    std::string text;
    for (const row_kind kind : row_kinds) {
        text += fmt::format("{}\n", to_string(kind));
        for (const column& description : columns_of(kind)) {
            const std::string default_note =
                description.required ? "required" : "default " + description.default_text;
            text += fmt::format("  {}{}: {} ({}; {})\n", description.name, description.key ? " (key)" : "",
                                description.doc, describe_values(description), default_note);
        }
    }
    return text;
}

}  // namespace teaselpitch
