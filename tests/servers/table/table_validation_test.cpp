#include "servers/table/table_validation.h"

#include <rapidcheck.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "servers/table/columns.h"
#include "servers/table/table_diff.h"
#include "tests/servers/table/rows_for_tests.h"

namespace teaselpitch {

namespace data = boost::unit_test::data;
using namespace table_tests;

BOOST_AUTO_TEST_SUITE(table_validation)

struct cell_case {
    row_kind kind;
    std::vector<std::string> cells;
    std::string column;
};

std::ostream& operator<<(std::ostream& out, const cell_case& value) {
    return out << to_string(value.kind) << ' ' << value.column;
}

const std::vector<cell_case> invalid_cells{
    {row_kind::service, {""}, "service"},
    {row_kind::service, {"*"}, "service"},
    {row_kind::service, {std::string(101, 's')}, "service"},
    {row_kind::service, {"s", "zone 1"}, "availability_zone"},
    {row_kind::service, {"s", "*", "-1"}, "weight"},
    {row_kind::service, {"s", "*", "10001"}, "weight"},
    {row_kind::service, {"s", "*", "5", "1000001"}, "limit"},
    {row_kind::service, {"s", "*", "", "", "101"}, "floor"},
    {row_kind::service, {"s", "*", "", "", "60%"}, "floor"},
    {row_kind::service, {"s", "*", "", "", "", "Fast"}, "detection_policy"},
    {row_kind::service, {"s", "*", "", "", "", "", "0"}, "timeout_ms"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "60001"}, "queue_ms"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "", "101"}, "retry_budget_pct"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "", "", "100.5"}, "objective_pct"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "", "", "nan"}, "objective_pct"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "", "", "99,9"}, "objective_pct"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "", "", "", "1.5"}, "objective_latency_ms"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "", "", "", "", "extra"}, "health_path"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "", "", "", "", "", "-1"}, "connections"},
    {row_kind::service, {"s", "*", "", "", "", "", "", "", "", "", "", "", "", "extra"}, ""},
    {row_kind::route, {"*", "/", "s", "", "", "0"}, "attempts"},
    {row_kind::route, {"*", "/", "s", "", "", "", "3600001"}, "objective_ms"},
    {row_kind::route, {"*", "/", "s", "", "", "", "", "101"}, "priority"},
    {row_kind::route, {"*", "/", "s", "", "", "", "", "", "a b"}, "split"},
    {row_kind::route, {"Upper.example", "/", "s"}, "host"},
    {row_kind::route, {"*", "x", "s"}, "path_prefix"},
    {row_kind::route, {"*", "/x?y", "s"}, "path_prefix"},
    {row_kind::route, {"*", "/", ""}, "service"},
    {row_kind::route, {"*", "/", "s", "maybe"}, "non_idempotent"},
    {row_kind::route, {"*", "/", "s", "", "3600001"}, "timeout_ms"},
    {row_kind::account, {"*", "s", "1"}, "account"},
    {row_kind::account, {"#a", "s", "1"}, "account"},
    {row_kind::account, {"a", "s", "4294967297"}, "requests_per_s"},
};

// Guards against an unknown or out-of-range value that is accepted.
BOOST_DATA_TEST_CASE(invalid_cells_are_refused, data::make(invalid_cells), sample) {
    std::vector<table_issue> issues;
    parse_row(sample.kind, sample.cells, issues);
    BOOST_REQUIRE(issues.size() == 1);
    BOOST_TEST(issues.front().column == sample.column);
    BOOST_TEST(!issues.front().reason.empty());
}

row_change queue_above_timeout() {
    row_change change = set_service("limits");
    std::get<service_row>(change.row).queue_ms = 20'000;
    return change;
}

row_change objective_above_timeout() {
    row_change change = set_service("limits");
    std::get<service_row>(change.row).objective_latency_ms = 10'001;
    return change;
}

struct edit_case {
    std::vector<row_change> changes;
    std::string issue;
};

std::ostream& operator<<(std::ostream& out, const edit_case& value) {
    return out << value.issue;
}

const std::vector<edit_case> contradictions{
    {{set_route("*", "/y", "none")}, "route row \"*/y\": column service: service \"none\" has no row"},
    {{set_account("a", "none")}, "account row \"a/none\": column service: service \"none\" has no row"},
    {{removal(set_service("limits"))}, "route row \"*/x\": column service: service \"limits\" has no row"},
    {{set_service("limits", 0)},
     "service row \"limits\": column weight: the service has no row with a weight above 0"},
    {{set_route("*", "/y", "limits"), set_route("*", "/y", "limits")},
     "route row \"*/y\": the key occurs more than once"},
    {{removal(set_account("b", "*"))}, "account row \"b/*\": the row to remove does not exist"},
    {{queue_above_timeout()}, "service row \"limits/*\": column queue_ms: exceeds timeout_ms of the row"},
    {{objective_above_timeout()},
     "service row \"limits/*\": column objective_latency_ms: exceeds timeout_ms of the row"},
    {{set_service("limits", 0, "z"), set_account("b", "*")}, ""},
    {{removal(set_service("limits")), set_service("limits", 1, "z")}, ""},
};

table valid_base() {
    return table().with_changes(std::vector{set_service("limits"), set_route("*", "/x", "limits")}, 1);
}

// Guards against an edit that creates contradictions between rows.
BOOST_DATA_TEST_CASE(contradictions_are_refused, data::make(contradictions), sample) {
    const table before = valid_base();
    const auto issues = validate_changes(before, sample.changes, before.with_changes(sample.changes, 2));
    BOOST_TEST(to_string(std::vector(issues.begin(), issues.begin() + (issues.empty() ? 0 : 1))) ==
               sample.issue);
}

row_change random_change() {
    const std::string service = "s" + std::to_string(*rc::gen::inRange(0, 3));
    const bool remove = *rc::gen::arbitrary<bool>();
    switch (*rc::gen::inRange(0, 3)) {
        case 0: {
            row_change change = set_service(service, *rc::gen::inRange(0, 2), *rc::gen::element("*", "z"));
            change.remove = remove;
            return change;
        }
        case 1: {
            row_change change = set_route("*", *rc::gen::element("/", "/a"), service);
            change.remove = remove;
            return change;
        }
        default: {
            row_change change = set_account("a", *rc::gen::element(service, std::string("*")));
            change.remove = remove;
            return change;
        }
    }
}

// Guards against a validation of changes that misses an error which the validation of the whole table finds.
// A replica would then accept an edit that another replica rejects in a snapshot.
BOOST_AUTO_TEST_CASE(validate_changes_agrees_with_validate_table) {
    BOOST_TEST(rc::check([] {
        table current;
        const int edits = *rc::gen::inRange(1, 30);
        for (int i = 0; i < edits; ++i) {
            std::vector<row_change> changes{random_change()};
            if (*rc::gen::arbitrary<bool>()) {
                changes.push_back(random_change());
            }
            const table next = current.with_changes(changes, static_cast<std::uint64_t>(i) + 1);
            const bool accepted = validate_changes(current, changes, next).empty();
            if (find_duplicates(changes).empty() && accepted) {
                RC_ASSERT(validate_table(next).empty());
            }
            const auto effective = changes_between(current, next);
            RC_ASSERT(validate_changes(current, effective, next).empty() == validate_table(next).empty());
            if (accepted) {
                current = next;
            }
        }
    }));
}

// Guards against differences that do not convert one table to the other.
BOOST_AUTO_TEST_CASE(changes_between_convert_one_table_to_the_other) {
    BOOST_TEST(rc::check([] {
        const auto first = *rc::gen::container<std::vector<row_change>>(rc::gen::exec(random_change));
        const auto second = *rc::gen::container<std::vector<row_change>>(rc::gen::exec(random_change));
        const table before = table().with_changes(first, 1);
        const table after = before.with_changes(second, 2);
        RC_ASSERT(diff_tables(before.with_changes(changes_between(before, after), 2), after).empty());
        RC_ASSERT(diff_tables(before, after).size() == changes_between(before, after).size());
    }));
}

// Guards against a lookup that ignores the row of the zone or the service.
BOOST_AUTO_TEST_CASE(specific_rows_precede_wildcard_rows) {
    const table value = table().with_changes(std::vector{set_service("s", 1), set_service("s", 2, "z"),
                                                         set_account("a", "*", 3), set_account("a", "s", 4)},
                                             1);
    BOOST_TEST(value.service("s", "z")->weight == 2U);
    BOOST_TEST(value.service("s", "other")->weight == 1U);
    BOOST_TEST(value.service("t", "z") == nullptr);
    BOOST_TEST(value.account("a", "s")->requests_per_s == 4U);
    BOOST_TEST(value.account("a", "t")->requests_per_s == 3U);
    BOOST_TEST(value.account("b", "s") == nullptr);
}

// Guards against a difference that omits a changed cell or mixes up its values.
BOOST_AUTO_TEST_CASE(differences_list_each_changed_cell) {
    const table before = valid_base();
    const table after =
        before.with_changes(std::vector{set_service("limits", 7), removal(set_route("*", "/x", "limits")),
                                        set_account("a", "*", 3)},
                            2);
    const auto differences = diff_tables(before, after);
    BOOST_REQUIRE(differences.size() == 3);
    BOOST_TEST(to_string(differences[0]) == "changed service limits/* weight=100->7");
    BOOST_TEST(to_string(differences[1]) ==
               "removed route */x service=limits non_idempotent=auto timeout_ms=0 attempts=3 objective_ms=0 "
               "priority=0");
    BOOST_TEST(to_string(differences[2]) == "added account a/* requests_per_s=3");
}

// Guards against copying a whole table for one changed row.
BOOST_AUTO_TEST_CASE(versions_share_unchanged_rows) {
    std::vector<row_change> rows;
    rows.reserve(5'000);
    for (int i = 0; i < 5'000; ++i) {
        rows.push_back(set_account("account-" + std::to_string(i), "*"));
    }
    const table before = table().with_changes(rows, 1);
    const table after = before.with_changes(std::vector{set_account("account-7", "*", 99)}, 2);
    int copied = 0;
    before.accounts().for_each(
        [&](const account_row& row) { copied += after.accounts().find(row.key()) != &row ? 1 : 0; });
    BOOST_TEST(after.account("account-7", "s")->requests_per_s == 99U);
    BOOST_TEST(copied < 100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
