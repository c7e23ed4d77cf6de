#include "main/load/run_records.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "modules/history/history_checker.h"

namespace teaselpitch {
namespace {

call_record make_error_answer(const std::string& id, const std::string& key, const std::string& answer_for) {
    call_record call;
    call.call_id = id;
    call.idempotency_key = key;
    call.non_idempotent = true;
    call.status = 500;
    call.whole = true;
    call.answer_for = answer_for;
    call.body_matches = true;
    return call;
}

struct echo_case {
    const char* what;
    const char* answer_for;
    std::size_t violations;
};

std::ostream& operator<<(std::ostream& out, const echo_case& value) {
    return out << value.what;
}

const std::vector<echo_case> echo_cases{
    {"stored answer of the first send", "call-1", 0},
    {"answer for another key", "call-2", 1},
    {"answer for an unknown call", "call-9", 1},
    {"answer without a call id", "", 1},
};

constexpr const char* status_text =
    R"({"node":"a-1","incarnation":7,"table_version":3,"services":[{"name":"s","targets":[)"
    R"({"name":"t1","state":"ejected","zone":"x","slots":4},{"name":"t2","state":"healthy","zone":"x","slots":4},)"
    R"({"name":"t3","state":"ejected","zone":"y","slots":2}],"floors":[)"
    R"({"zone":"","registered":10,"in_service":4,"required":6},)"
    R"({"zone":"x","registered":8,"in_service":4,"required":4}]}]})";

BOOST_AUTO_TEST_SUITE(run_records_tests)

// Guards against reporting a stored error answer as one for another call, and against accepting an error
// answer for another key.
BOOST_DATA_TEST_CASE(error_answer_gets_key_of_echoed_call, boost::unit_test::data::make(echo_cases)) {
    history recorded;
    recorded.calls = {make_error_answer("call-1", "key-1", "call-1"),
                      make_error_answer("call-2", "key-2", "call-2"),
                      make_error_answer("call-1-again", "key-1", sample.answer_for)};
    resolve_answer_keys(recorded.calls);
    BOOST_TEST(history_checker({}).check(recorded).size() == sample.violations);
}

// Guards against counting capacity ejected in another availability zone.
BOOST_AUTO_TEST_CASE(status_yields_versions_capacities_and_ejections) {
    history recorded;
    std::set<std::string> ejected;
    BOOST_REQUIRE(add_status_sample(status_text, 42, recorded, ejected).ok());
    BOOST_REQUIRE_EQUAL(recorded.versions.size(), 1U);
    BOOST_TEST(recorded.versions[0].node == "a-1#7");
    BOOST_TEST(recorded.versions[0].version == 3U);
    BOOST_REQUIRE_EQUAL(recorded.capacities.size(), 2U);
    BOOST_TEST(recorded.capacities[0].ejected == 6);
    BOOST_TEST(recorded.capacities[0].floor == 6);
    BOOST_TEST(recorded.capacities[1].ejected == 4);
    BOOST_TEST((ejected == std::set<std::string>{"t1", "t3"}));
}

// Guards against reading an incomplete status report as an empty fleet.
BOOST_DATA_TEST_CASE(an_incomplete_record_is_an_error,
                     boost::unit_test::data::make({"{}", "[]", "{\"node\":\"a\"}", "x"})) {
    history recorded;
    std::set<std::string> ejected;
    BOOST_TEST(!add_status_sample(sample, 1, recorded, ejected).ok());
    BOOST_TEST(!add_executions(sample, "t", recorded).ok());
    BOOST_TEST(!add_events(sample, recorded).ok());
}

// Guards against losing execution times and against counting unfinished executions as completed.
BOOST_AUTO_TEST_CASE(executions_keep_their_state) {
    history recorded;
    const std::string row =
        R"({"sequence":0,"call_id":"c","idempotency_key":"k","incarnation":1,"start_us":5,)";
    BOOST_REQUIRE(add_executions(row + R"("end_us":9,"state":"completed"})" + "\n" + row +
                                     R"("end_us":0,"state":"running"})" + "\n",
                                 "t", recorded)
                      .ok());
    BOOST_REQUIRE_EQUAL(recorded.executions.size(), 2U);
    BOOST_TEST(recorded.executions[0].completed);
    BOOST_TEST(recorded.executions[0].end == 9);
    BOOST_TEST(!recorded.executions[1].completed);
    BOOST_TEST(recorded.executions[1].target == "t");
}

// Guards against dropping events that scripts recorded, which the history checker needs.
BOOST_AUTO_TEST_CASE(script_events_are_appended) {
    history recorded;
    BOOST_REQUIRE(add_events("{\"type\":\"killed\",\"name\":\"a-1\"}\n"
                             "{\"type\":\"accepted_edit\",\"version\":4,\"when\":10}\n"
                             "{\"type\":\"leave\",\"name\":\"t\",\"announced\":3,\"stopped\":0}\n",
                             recorded)
                      .ok());
    BOOST_TEST(recorded.killed == std::vector<std::string>{"a-1"}, boost::test_tools::per_element());
    BOOST_TEST(recorded.accepted_edits.at(0).version == 4U);
    BOOST_TEST(recorded.leaves.at(0).announced == 3);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
