#include "modules/burn/burn_report.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

node_outcome_counts make_node_counts(const std::string& name, const std::string& zone, std::uint64_t good,
                                     std::uint64_t refused) {
    node_outcome_counts result;
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

const burn_row& find_row(const burn_report& report, const std::string& zone) {
    for (const burn_row& row : report.rows) {
        if (row.availability_zone == zone) {
            return row;
        }
    }
    throw std::runtime_error("no row for " + zone);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(burn)

// Guards against burn rates that omit an availability zone, and against counting caller faults as budget use.
BOOST_AUTO_TEST_CASE(burn_rates_by_zone_and_in_total) {
    const burn_report report = merge_node_counts(
        {make_node_counts("n1", "seq-bne", 980, 20), make_node_counts("n2", "seq-gc", 1000, 0)}, {"n3"});
    BOOST_TEST(find_row(report, "seq-bne").burn_rate == 2.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(find_row(report, "seq-bne").budget_left == -1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(find_row(report, "seq-gc").burn_rate == 0.0);
    BOOST_TEST(find_row(report, "*").burn_rate == 1.0, boost::test_tools::tolerance(1e-9));
    BOOST_TEST(find_row(report, "*").total == 2000U);
}

// Guards against a report that omits the nodes that did not answer.
BOOST_AUTO_TEST_CASE(missing_nodes_are_reported) {
    const burn_report report = merge_node_counts({make_node_counts("n1", "seq-bne", 1, 0)}, {"n3"});
    BOOST_TEST(format_burn_text(report).find("n3 did not answer") != std::string::npos);
    BOOST_TEST(format_burn_html(report).find("n3 did not answer") != std::string::npos);
    BOOST_TEST(format_burn_json(report).find("\"missing_nodes\":[\"n3\"]") != std::string::npos);
}

// Guards against a field that is lost when node counts are written to JSON and parsed back.
BOOST_AUTO_TEST_CASE(node_counts_round_trip_through_json) {
    const node_outcome_counts node = make_node_counts("n1", "seq-bne", 980, 20);
    const auto read = parse_node_counts_json(write_node_counts_json(node));
    BOOST_REQUIRE(read.ok());
    BOOST_TEST(format_burn_text(merge_node_counts({*read}, {})) ==
               format_burn_text(merge_node_counts({node}, {})));
    BOOST_TEST(!parse_node_counts_json("{\"node\":3}").ok());
}

// Guards against HTML injection through a service name.
BOOST_AUTO_TEST_CASE(html_escapes_service_names) {
    node_outcome_counts node = make_node_counts("n1", "<script>", 1, 0);
    BOOST_TEST(format_burn_html(merge_node_counts({node}, {})).find("<script>") == std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
