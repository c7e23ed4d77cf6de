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
    return table().with(
        std::vector{set_service("limits"), set_service("limits", 0, "seq-bne"),
                    set_route("any.example", "/a,b;c", "limits"), set_account("council@x", "limits", 7)},
        12);
}

const std::string plain =
    "# version: 4\n[service]\nservice,availability_zone,weight\nlimits,*,5\n"
    "[route]\nhost,path_prefix,service\n*,/x,limits\n[account]\naccount,service,requests_per_s\nacme,*,9\n";

std::string replaced(std::string_view from, std::string_view to) {
    return absl::StrReplaceAll(
        plain, {{absl::string_view(from.data(), from.size()), absl::string_view(to.data(), to.size())}});
}

// Guards against a file that changes each time it is written, and against cells lost by quoting.
BOOST_AUTO_TEST_CASE(writing_and_parsing_is_stable) {
    const std::string text = write_table_csv(sample());
    const parsed_table parsed = parse_table_csv(text);
    BOOST_TEST(to_string(parsed.issues) == "");
    BOOST_TEST(parsed.base_version.value() == 12);
    BOOST_TEST(write_table_csv(parsed.value) == text);
    BOOST_TEST(parsed.value.route("any.example", "/a,b;c")->service == "limits");
}

// Each text holds the rows of `plain` after an editor or a spreadsheet rewrote it.
const std::vector<std::string> rewritten{
    replaced("\n", "\r\n"),
    "\xef\xbb\xbf" + plain,
    replaced("\n", "\n\n"),
    replaced("\n", ",,,\n"),
    replaced("limits,*,5", "\"limits\",\"*\",\"5\""),
    replaced("limits,*,5", " limits , * , 5 "),
    absl::StrReplaceAll(plain, {{"service,availability_zone,weight", "weight,service,availability_zone"},
                                {"limits,*,5", "5,limits,*"}}),
    replaced(",", ";"),
    replaced(",", "\t"),
    plain.substr(0, plain.size() - 1),
    replaced("[route]", "# a comment\n\"[route]\",,"),
    replaced("limits,*,5", "limits,,5"),
};

// Guards against an edit that is lost or refused because of what a spreadsheet does to a file.
BOOST_DATA_TEST_CASE(rewritten_text_has_the_same_rows, data::make(rewritten), text) {
    const parsed_table parsed = parse_table_csv(text);
    BOOST_TEST(to_string(parsed.issues) == "");
    BOOST_TEST(write_table_csv(parsed.value) == write_table_csv(parse_table_csv(plain).value));
    BOOST_TEST(parsed.value.service("limits", "any")->weight == 5);
}

const std::vector<std::tuple<std::string, std::string>> errors{
    {replaced("limits,*,5", "limits,*,x"),
     "line 4: service row \"limits/*\": column weight: \"x\" is not an integer from 0 to 10000"},
    {replaced("limits,*,5", "limits,*,5\nlimits,*,6"),
     "line 5: service row \"limits/*\": the key occurs first in line 4"},
    {replaced("limits,*,5", "limits,*,5,7"),
     "line 4: service row \"limits\": cell 4 has no column in the header"},
    {replaced("limits,*,5", "limits,*,\"5\n6"), "line 4: service row \"limits\": a quoted cell does not end"},
    {replaced("zone,weight", "zone,wait"), "line 3: service rows: column wait: unknown column"},
    {replaced("zone,weight", "zone,service"),
     "line 3: service rows: column service: the column occurs more than once"},
    {replaced("host,path_prefix,service", "host,path_prefix"),
     "line 6: route rows: column service: the column is missing"},
    {replaced("[route]", "[routes]"), "line 5: service rows: unknown section [routes]"},
    {replaced("[route]", "[service]"), "line 5: service rows: the section occurs more than once"},
    {replaced("[service]", ""), "line 3: service rows: the line is outside of the sections"},
    {replaced("acme,*,9", "acme,*,"),
     "line 10: account row \"acme/*\": column requests_per_s: the cell is blank and has no default"},
    {replaced("*,/x,limits", "*,/x,other"),
     "line 7: route row \"*/x\": column service: service \"other\" has no row"},
    {replaced("version: 4", "version: four"),
     "line 1: service rows: the version comment has no valid number"},
};

// Guards against a mistake that is accepted, or that is reported without its place and reason.
BOOST_DATA_TEST_CASE(errors_name_their_place, data::make(errors), text, expected) {
    const parsed_table parsed = parse_table_csv(text);
    BOOST_REQUIRE(!parsed.issues.empty());
    BOOST_TEST(to_string(parsed.issues.front()) == expected);
}

// Guards against a file cut off before a section, which would remove all rows of that kind.
BOOST_AUTO_TEST_CASE(a_missing_section_is_an_error) {
    const parsed_table parsed = parse_table_csv(plain.substr(0, plain.find("[account]")));
    BOOST_TEST(to_string(parsed.issues) == "account rows: the section [account] is missing");
}

// Guards against a column whose default is refused by its own rule or missing in the documentation.
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
