#include "modules/history/history_checker.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>
#include <sstream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

constexpr history_time second = 1'000'000;

call_record make_valid_call(const std::string& id, const std::string& key) {
    call_record call;
    call.call_id = id;
    call.idempotency_key = key;
    call.service = "contratos";
    call.non_idempotent = true;
    call.start = second;
    call.end = 2 * second;
    call.status = 200;
    call.whole = true;
    call.execution = execution_state::run;
    call.answer_for = id;
    call.answer_key = key;
    call.body_matches = true;
    return call;
}

// A history without violations: a replayed request with a key, a request without a key, a rejected request,
// two versions on one node, a target that left with a request in flight, and an ejection above the floor.
history make_valid_history() {
    history result;
    result.calls = {make_valid_call("c1", "k1"), make_valid_call("c2", "k1"), make_valid_call("c3", "")};
    result.calls[1].answer_for = "c1";
    call_record refused = make_valid_call("c4", "");
    refused.status = 503;
    refused.execution = execution_state::not_run;
    refused.error = "overloaded";
    result.calls.push_back(refused);
    result.executions = {{"c1", "k1", "t1", second, 2 * second, true},
                         {"c3", "", "t2", second, 2 * second, true}};
    result.versions = {{"n1", 3, second}, {"n1", 5, 2 * second}, {"n2", 5, 7 * second}};
    result.accepted_edits = {{5, 2 * second}};
    result.leaves = {{"t1", second + second / 2, 4 * second}};
    result.capacities = {{"n1", "contratos", second, 28, 8, 24}};
    return result;
}

struct violation_case {
    std::string name;
    std::function<void(history&)> inject;
    guarantee violated;
};

std::ostream& operator<<(std::ostream& out, const violation_case& value) {
    return out << value.name;
}

const std::vector<violation_case> violation_cases{
    {"ejection below the floor", [](history& h) { h.capacities[0].in_service = 20; }, guarantee::floor},
    {"answer of another call", [](history& h) { h.calls[2].answer_for = "c1"; }, guarantee::whole_answer},
    {"replay of another key", [](history& h) { h.calls[1].answer_key = "k2"; }, guarantee::whole_answer},
    {"body with wrong bytes", [](history& h) { h.calls[0].body_matches = false; }, guarantee::whole_answer},
    {"reported as run but not executed", [](history& h) { h.executions.erase(h.executions.begin() + 1); },
     guarantee::whole_answer},
    {"reported as not-run but executed",
     [](history& h) {
         h.executions.push_back({"c4", "", "t2", second, 2 * second, true});
     },
     guarantee::not_run_is_true},
    {"key executed twice",
     [](history& h) {
         h.executions.push_back({"c2", "k1", "t2", second, 2 * second, true});
     },
     guarantee::at_most_once},
    {"call without a key executed twice",
     [](history& h) {
         h.executions.push_back({"c3", "", "t1", second, 2 * second, true});
     },
     guarantee::at_most_once},
    {"work after leaving",
     [](history& h) {
         h.executions.push_back({"c9", "", "t1", 4 * second, 5 * second, true});
     },
     guarantee::no_work_after_leaving},
    {"request in flight not completed by the target", [](history& h) { h.executions[0].completed = false; },
     guarantee::graceful_stop},
    {"answer in flight incomplete at the caller", [](history& h) { h.calls[0].whole = false; },
     guarantee::graceful_stop},
    {"version goes back",
     [](history& h) {
         h.versions.push_back({"n1", 3, 3 * second});
     },
     guarantee::versions},
    {"version not in force",
     [](history& h) {
         h.versions.push_back({"n3", 3, 7 * second});
     },
     guarantee::versions},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(history_checking)

// Guards against false alarms of the checker on a correct history.
BOOST_AUTO_TEST_CASE(valid_history_has_no_violation) {
    const auto found = history_checker(history_limits{}).check(make_valid_history());
    for (const violation& entry : found) {
        BOOST_TEST_MESSAGE(to_string(entry.violated) << ": " << entry.detail);
    }
    BOOST_TEST(found.empty());
}

// Guards against a checker that misses violations: each injected violation must be reported under its own
// guarantee and no other.
BOOST_DATA_TEST_CASE(injected_violation_is_reported, boost::unit_test::data::make(violation_cases), sample) {
    history recorded = make_valid_history();
    sample.inject(recorded);
    const auto found = history_checker(history_limits{}).check(recorded);
    BOOST_REQUIRE(!found.empty());
    for (const violation& entry : found) {
        BOOST_TEST(to_string(entry.violated) == to_string(sample.violated), entry.detail);
    }
}

// Guards against losing a field of a record when a history is written to a file and read back.
BOOST_DATA_TEST_CASE(history_file_preserves_check_result, boost::unit_test::data::make(violation_cases),
                     sample) {
    history recorded = make_valid_history();
    sample.inject(recorded);
    std::stringstream file;
    write_history(file, recorded);
    const auto read = read_history(file);
    BOOST_REQUIRE(read.ok());
    const history_checker checker{history_limits{}};
    BOOST_TEST(checker.check(*read).size() == checker.check(recorded).size());
}

BOOST_AUTO_TEST_CASE(read_error_contains_line_number) {
    std::stringstream file("{\"type\":\"killed\",\"name\":\"n1\"}\n{\"type\":\"call\"}\n");
    const auto read = read_history(file);
    BOOST_REQUIRE(!read.ok());
    BOOST_TEST(read.status().message().find("line 2") == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
