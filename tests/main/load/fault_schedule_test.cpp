#include "main/load/fault_schedule.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

namespace teaselpitch {
namespace {

struct invalid_schedule {
    const char* yaml;
    const char* reason;
};

std::ostream& operator<<(std::ostream& out, const invalid_schedule& value) {
    return out << value.reason;
}

const std::vector<invalid_schedule> invalid_schedules{
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

// Guards against injecting faults out of order or truncating their bodies.
BOOST_AUTO_TEST_CASE(entries_are_sorted_by_time) {
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

// Guards against ignoring an invalid schedule and running without faults.
BOOST_DATA_TEST_CASE(invalid_schedule_is_rejected, boost::unit_test::data::make(invalid_schedules)) {
    const auto faults = parse_fault_schedule(sample.yaml);
    BOOST_REQUIRE(!faults.ok());
    BOOST_TEST(std::string(faults.status().message()).starts_with(sample.reason),
               std::string(faults.status().message()));
}

// Guards against rejecting a run that has no fault schedule.
BOOST_AUTO_TEST_CASE(an_empty_schedule_has_no_faults) {
    const auto faults = parse_fault_schedule("");
    BOOST_REQUIRE(faults.ok());
    BOOST_TEST(faults->empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
