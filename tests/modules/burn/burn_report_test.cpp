#include "modules/burn/burn_report.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

node_burn node_with(const std::string& name, const std::string& zone, std::uint64_t good,
                    std::uint64_t refused) {
    node_burn result;
    result.node = name;
    outcome_counts counts{};
    counts[static_cast<std::size_t>(outcome::good)] = good;
    counts[static_cast<std::size_t>(outcome::refused)] = refused;
    counts[static_cast<std::size_t>(outcome::caller_fault)] = 1000;
    result.windows.push_back({"limits", zone, 5min, counts});
    result.minutes.push_back({"limits", zone, 2min, counts});
    result.objectives["limits"] = {0.99, 200ms};
    return result;
}

const burn_row& row_of(const burn_report& report, const std::string& zone) {
    for (const burn_row& row : report.rows) {
        if (row.availability_zone == zone) {
            return row;
        }
    }
    throw std::runtime_error("no row for " + zone);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(burn)

// Guards against burn rates that ignore a zone, and against callers' faults that use the budget.
BOOST_AUTO_TEST_CASE(rates_by_zone_and_in_total) {
    const burn_report report =
        join_burn({node_with("n1", "seq-bne", 980, 20), node_with("n2", "seq-gc", 1000, 0)}, {"n3"});
    BOOST_TEST(row_of(report, "seq-bne").burn_rate == 2.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(row_of(report, "seq-bne").budget_left == -1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(row_of(report, "seq-gc").burn_rate == 0.0);
    BOOST_TEST(row_of(report, "*").burn_rate == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(row_of(report, "*").total == 2000U);
}

// Guards against a report that hides nodes that did not answer.
BOOST_AUTO_TEST_CASE(missing_nodes_are_named) {
    const burn_report report = join_burn({node_with("n1", "seq-bne", 1, 0)}, {"n3"});
    BOOST_TEST(write_burn_text(report).find("n3 did not answer") != std::string::npos);
    BOOST_TEST(write_burn_html(report).find("n3 did not answer") != std::string::npos);
    BOOST_TEST(write_burn_json(report).find("\"missing_nodes\":[\"n3\"]") != std::string::npos);
}

// Guards against a field that is lost between a node and the report.
BOOST_AUTO_TEST_CASE(node_answer_survives_json) {
    const node_burn node = node_with("n1", "seq-bne", 980, 20);
    const auto read = read_node_burn(write_node_burn(node));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(write_burn_text(join_burn({*read}, {})) == write_burn_text(join_burn({node}, {})));
    BOOST_TEST(!read_node_burn("{\"node\":3}").ok());
}

// Guards against a service name that breaks out of the page.
BOOST_AUTO_TEST_CASE(html_escapes_names) {
    node_burn node = node_with("n1", "<script>", 1, 0);
    BOOST_TEST(write_burn_html(join_burn({node}, {})).find("<script>") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
