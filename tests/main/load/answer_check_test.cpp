#include "main/load/answer_check.h"

#include <xxhash.h>

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "absl/strings/str_cat.h"
#include "main/standin_target/answer_pattern.h"

namespace teaselpitch {
namespace {

const load_options& options() {
    static const load_options value = [] {
        load_options result;
        result.hosts = {"vitrine.example"};
        result.body_bytes = 5;
        return result;
    }();
    return value;
}

planned_request make_planned_request(bool is_post, const std::string& key, bool first) {
    planned_request planned;
    planned.call_id = "call-1";
    planned.is_post = is_post;
    planned.key = key;
    planned.is_first = first;
    return planned;
}

std::string echo(const std::string& path, const std::string& call_id, const std::string& digest) {
    return R"({"method":"POST","path":")" + path + R"(","call_id":")" + call_id + R"(","body_digest":")" +
           digest + R"("})";
}

http_reply make_reply(unsigned status, const std::string& call_id, const std::string& body) {
    return {status, {{"X-Call-Id", call_id}, {"Teaselpitch-Execution", "run"}}, body};
}

struct get_case {
    const char* what;
    unsigned status;
    const char* echoed;
    std::string body;
    bool matches;
};

std::ostream& operator<<(std::ostream& out, const get_case& value) {
    return out << value.what;
}

const std::vector<get_case> get_cases{
    {"own answer", 200, "call-1", answer_pattern("call-1", 0, 5), true},
    {"answer at wrong offset", 200, "call-1", answer_pattern("call-1", 1, 5), false},
    {"truncated answer", 200, "call-1", answer_pattern("call-1", 0, 4), false},
    {"answer of another call", 200, "call-2", answer_pattern("call-2", 0, 5), false},
    {"injected error", 500, "call-1", "injected error\n", true},
    {"unknown error body", 500, "call-1", "something else", false},
};

BOOST_AUTO_TEST_SUITE(answer_check_tests)

// Guards against accepting answers that belong to another call or are damaged.
BOOST_DATA_TEST_CASE(get_answer_must_match_pattern_of_call, boost::unit_test::data::make(get_cases)) {
    const http_request request = make_call_request(make_planned_request(false, "", true), options());
    call_record call;
    call.call_id = "call-1";
    evaluate_answer(request, make_reply(sample.status, sample.echoed, sample.body), call);
    BOOST_TEST(call.whole);
    BOOST_TEST(call.answer_for == sample.echoed);
    BOOST_TEST(call.body_matches == sample.matches);
    BOOST_TEST((call.execution == execution_state::run));
}

// Guards against accepting an echo of another key, another body or another call id.
BOOST_AUTO_TEST_CASE(post_answer_must_echo_key_body_and_call_id) {
    const http_request request = make_call_request(make_planned_request(true, "key-1", true), options());
    const std::string digest =
        absl::StrCat(absl::Hex(XXH3_64bits(request.body.data(), request.body.size()), absl::kZeroPad16));
    const std::vector<std::tuple<std::string, bool, std::string>> cases{
        {echo("/work?key=key-1", "call-0", digest), true, "key-1"},
        {echo("/work?key=key-2", "call-0", digest), false, "key-2"},
        {echo("/work?key=key-1", "call-9", digest), false, "key-1"},
        {echo("/work?key=key-1", "call-0", "0000000000000000"), false, "key-1"},
        {"not json", false, ""},
    };
    for (const auto& [body, matches, key] : cases) {
        call_record call;
        call.call_id = "call-1";
        // A stored answer has the call id of the request that was executed.
        evaluate_answer(request, make_reply(200, "call-0", body), call);
        BOOST_TEST(call.body_matches == matches, body);
        BOOST_TEST(call.answer_key == key, body);
    }
}

// Guards against marking a repeated send as a first one: its key would be executed again after a takeover.
BOOST_DATA_TEST_CASE(only_first_send_has_attempt_header, boost::unit_test::data::make({true, false}), first) {
    const http_request request = make_call_request(make_planned_request(true, "key-1", first), options());
    BOOST_TEST(find_header(request.headers, "Idempotency-Key").value_or("") == "key-1");
    BOOST_TEST(find_header(request.headers, "Teaselpitch-Attempt").has_value() == first);
    BOOST_TEST(request.body == make_call_request(make_planned_request(true, "key-1", true), options()).body);
}

// Guards against losing the error kind and the execution state of a rejected request.
BOOST_AUTO_TEST_CASE(rejection_records_error_kind_and_execution_state) {
    const http_request request = make_call_request(make_planned_request(true, "key-1", true), options());
    http_reply reply{
        503, {{"Teaselpitch-Error", "overloaded"}, {"Teaselpitch-Execution", "not-run"}}, "busy"};
    call_record call;
    evaluate_answer(request, reply, call);
    BOOST_TEST(call.error == "overloaded");
    BOOST_TEST((call.execution == execution_state::not_run));
    BOOST_TEST(!call.body_matches);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
