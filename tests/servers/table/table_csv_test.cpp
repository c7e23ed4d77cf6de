#include "servers/table/table_csv.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <tuple>
#include <vector>

#include "absl/strings/str_replace.h"
#include "servers/table/columns.h"
#include "tests/servers/table/rows_for_tests.h"

namespace teaselpitch {

namespace data = boost::unit_test::data;
using namespace table_tests;

BOOST_AUTO_TEST_SUITE(table_csv)

table sample() {
    return table().with_changes(
        std::vector{set_service("limits"), set_service("limits", 0, "seq-bne"),
                    set_route("any.example", "/a,b;c", "limits"), set_account("council@x", "limits", 7)},
        12);
}

const std::string plain_text =
    "# version: 4\n[service]\nservice,availability_zone,weight\nlimits,*,5\n"
    "[route]\nhost,path_prefix,service\n*,/x,limits\n[account]\naccount,service,requests_per_s\nacme,*,9\n";

std::string plain_text_with(std::string_view from, std::string_view to) {
    return absl::StrReplaceAll(
        plain_text, {{absl::string_view(from.data(), from.size()), absl::string_view(to.data(), to.size())}});
}

// Guards against a file that changes when it is parsed and written again, and against cells lost by quoting.
BOOST_AUTO_TEST_CASE(written_text_parses_to_the_same_table) {
    const std::string text = write_table_csv(sample());
    const parsed_table parsed = parse_table_csv(text);
    BOOST_TEST(to_string(parsed.issues) == "");
    BOOST_TEST(parsed.base_version.value() == 12);
    BOOST_TEST(write_table_csv(parsed.value) == text);
    BOOST_TEST(parsed.value.route("any.example", "/a,b;c")->service == "limits");
}

// Each text has the rows of `plain`, as rewritten by an editor or a spreadsheet.
const std::vector<std::string> rewritten_texts{
    plain_text_with("\n", "\r\n"),
    "\xef\xbb\xbf" + plain_text,
    plain_text_with("\n", "\n\n"),
    plain_text_with("\n", ",,,\n"),
    plain_text_with("limits,*,5", "\"limits\",\"*\",\"5\""),
    plain_text_with("limits,*,5", " limits , * , 5 "),
    absl::StrReplaceAll(plain_text, {{"service,availability_zone,weight", "weight,service,availability_zone"},
                                     {"limits,*,5", "5,limits,*"}}),
    plain_text_with(",", ";"),
    plain_text_with(",", "\t"),
    plain_text.substr(0, plain_text.size() - 1),
    plain_text_with("[route]", "# a comment\n\"[route]\",,"),
    plain_text_with("limits,*,5", "limits,,5"),
};

// Guards against rows that are lost or refused because a spreadsheet changed the format of the file.
BOOST_DATA_TEST_CASE(rewritten_text_has_the_same_rows, data::make(rewritten_texts), text) {
    const parsed_table parsed = parse_table_csv(text);
    BOOST_TEST(to_string(parsed.issues) == "");
    BOOST_TEST(write_table_csv(parsed.value) == write_table_csv(parse_table_csv(plain_text).value));
    BOOST_TEST(parsed.value.service("limits", "any")->weight == 5);
}

const std::vector<std::tuple<std::string, std::string>> errors{
    {plain_text_with("limits,*,5", "limits,*,x"),
     "line 4: service row \"limits/*\": column weight: \"x\" is not an integer from 0 to 10000"},
    {plain_text_with("limits,*,5", "limits,*,5\nlimits,*,6"),
     "line 5: service row \"limits/*\": the key already occurs in line 4"},
    {plain_text_with("limits,*,5", "limits,*,5,7"),
     "line 4: service row \"limits\": cell 4 has no column in the header"},
    {plain_text_with("limits,*,5", "limits,*,\"5\n6"),
     "line 4: service row \"limits\": a quoted cell has no end quote"},
    {plain_text_with("zone,weight", "zone,wait"), "line 3: service rows: column wait: unknown column"},
    {plain_text_with("zone,weight", "zone,service"),
     "line 3: service rows: column service: the column occurs more than once"},
    {plain_text_with("host,path_prefix,service", "host,path_prefix"),
     "line 6: route rows: column service: the column is missing"},
    {plain_text_with("[route]", "[routes]"), "line 5: service rows: unknown section [routes]"},
    {plain_text_with("[route]", "[service]"), "line 5: service rows: the section occurs more than once"},
    {plain_text_with("[service]", ""), "line 3: service rows: the line is outside of the sections"},
    {plain_text_with("acme,*,9", "acme,*,"),
     "line 10: account row \"acme/*\": column requests_per_s: the cell is blank and has no default"},
    {plain_text_with("*,/x,limits", "*,/x,other"),
     "line 7: route row \"*/x\": column service: service \"other\" has no row"},
    {plain_text_with("version: 4", "version: four"),
     "line 1: service rows: the version comment has no valid number"},
};

// Guards against an error that is accepted, or that is reported without its line and reason.
BOOST_DATA_TEST_CASE(errors_have_line_and_reason, data::make(errors), text, expected) {
    const parsed_table parsed = parse_table_csv(text);
    BOOST_REQUIRE(!parsed.issues.empty());
    BOOST_TEST(to_string(parsed.issues.front()) == expected);
}

// Guards against a file truncated before a section, which would remove all rows of that kind.
BOOST_AUTO_TEST_CASE(missing_section_is_an_error) {
    const parsed_table parsed = parse_table_csv(plain_text.substr(0, plain_text.find("[account]")));
    BOOST_TEST(to_string(parsed.issues) == "account rows: the section [account] is missing");
}

// Guards against a default that is invalid for its column, and a column without documentation.
BOOST_AUTO_TEST_CASE(defaults_are_valid_and_documented) {
    const std::vector<std::vector<std::string>> minimal{{"s"}, {"", "/", "s"}, {"a", "", "1"}};
    for (const row_kind kind : row_kinds) {
        std::vector<table_issue> issues;
        const auto cells = cells_of(parse_row(kind, minimal[static_cast<std::size_t>(kind)], issues));
        BOOST_TEST((parse_row(kind, cells, issues) ==
                    parse_row(kind, minimal[static_cast<std::size_t>(kind)], issues)));
        BOOST_TEST(to_string(issues) == "");
        for (const column& description : columns_of(kind)) {
            BOOST_TEST(describe_columns().find(description.name) != std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
