#include "main/load/fault_schedule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace teaselpitch {
namespace {

struct bad_schedule {
    const char* yaml;
    const char* reason;
};

std::ostream& operator<<(std::ostream& out, const bad_schedule& value) {
    return out << value.reason;
}

const std::vector<bad_schedule> bad_schedules{
    {"at_ms: 1", "the fault schedule is not a list"},
    {"- 5", "entry 1: an entry needs at_ms and post"},
    {"- {at_ms: 1}", "entry 1: an entry needs at_ms and post"},
    {"- {at_ms: -1, post: 127.0.0.1:1 /x}", "entry 1: at_ms is negative"},
    {"- {at_ms: 1, post: 127.0.0.1:1}", "entry 1: post has no path after the address"},
    {"- {at_ms: 1, post: 127.0.0.1:1 x}", "entry 1: post has no path after the address"},
    {"- {at_ms: 1, post: localhost /x}", "entry 1: post does not start with ADDRESS:PORT"},
    {"- {at_ms: 1, post: 127.0.0.1:1 /x}\n- {at_ms: 1, post: 127.0.0.1:1 /x, when: 3}",
     "entry 2: unknown key \"when\""},
    {"- {at_ms: soon, post: 127.0.0.1:1 /x}", "fault schedule: "},
    {"- {", "fault schedule: "},
};

BOOST_AUTO_TEST_SUITE(fault_schedule_tests)

// Guards against faults that run out of order or lose a part of their body.
BOOST_AUTO_TEST_CASE(entries_run_in_the_order_of_their_moments) {
    const auto faults = parse_fault_schedule(
        "- at_ms: 30\n  post: '127.0.0.1:8 /_leave'\n"
        "- at_ms: 20\n  post: '127.0.0.1:9 /_faults {\"hang\": true, \"probe_ok\": true}'\n  note: hangs\n");
    BOOST_REQUIRE(faults.ok());
    BOOST_REQUIRE_EQUAL(faults->size(), 2U);
    BOOST_TEST(faults->front().at.count() == 20);
    BOOST_TEST(to_string(faults->front().address) == "127.0.0.1:9");
    BOOST_TEST(faults->front().path == "/_faults");
    BOOST_TEST(faults->front().body == "{\"hang\": true, \"probe_ok\": true}");
    BOOST_TEST(faults->front().note == "hangs");
    BOOST_TEST(!faults->front().is_leave());
    BOOST_TEST(faults->back().is_leave());
    BOOST_TEST(faults->back().body.empty());
}

// Guards against a schedule with a mistake that runs as if it had no faults.
BOOST_DATA_TEST_CASE(a_wrong_schedule_is_refused, boost::unit_test::data::make(bad_schedules)) {
    const auto faults = parse_fault_schedule(sample.yaml);
    BOOST_REQUIRE(!faults.ok());
    BOOST_TEST(std::string(faults.status().message()).starts_with(sample.reason),
               std::string(faults.status().message()));
}

// Guards against a run without a schedule that fails.
BOOST_AUTO_TEST_CASE(an_empty_schedule_has_no_faults) {
    const auto faults = parse_fault_schedule("");
    BOOST_REQUIRE(faults.ok());
    BOOST_TEST(faults->empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
