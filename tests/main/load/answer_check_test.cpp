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
        load_options made;
        made.hosts = {"vitrine.example"};
        made.body_bytes = 5;
        return made;
    }();
    return value;
}

planned_send make_send(bool post, const std::string& key, bool first) {
    planned_send send;
    send.call_id = "call-1";
    send.post = post;
    send.key = key;
    send.first = first;
    return send;
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
    {"shifted answer", 200, "call-1", answer_pattern("call-1", 1, 5), false},
    {"cut answer", 200, "call-1", answer_pattern("call-1", 0, 4), false},
    {"answer of another call", 200, "call-2", answer_pattern("call-2", 0, 5), false},
    {"injected error", 500, "call-1", "injected error\n", true},
    {"unknown error body", 500, "call-1", "something else", false},
};

BOOST_AUTO_TEST_SUITE(answer_check_tests)

// Guards against answers of other calls, or damaged ones, that count as right.
BOOST_DATA_TEST_CASE(the_answer_to_get_is_the_pattern_of_its_call, boost::unit_test::data::make(get_cases)) {
    const http_request request = request_of(make_send(false, "", true), options());
    call_record call;
    call.call_id = "call-1";
    judge_answer(request, make_reply(sample.status, sample.echoed, sample.body), call);
    BOOST_TEST(call.whole);
    BOOST_TEST(call.answer_for == sample.echoed);
    BOOST_TEST(call.body_matches == sample.matches);
    BOOST_TEST((call.execution == execution_state::run));
}

// Guards against an echo of another key, another body or another call's head that counts as right.
BOOST_AUTO_TEST_CASE(the_answer_to_post_echoes_key_body_and_call) {
    const http_request request = request_of(make_send(true, "key-1", true), options());
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
        // A stored answer carries the call id of the send that ran.
        judge_answer(request, make_reply(200, "call-0", body), call);
        BOOST_TEST(call.body_matches == matches, body);
        BOOST_TEST(call.answer_key == key, body);
    }
}

// Guards against re-sends that look like first sends, whose key would run again after a takeover.
BOOST_DATA_TEST_CASE(only_the_first_send_is_marked, boost::unit_test::data::make({true, false}), first) {
    const http_request request = request_of(make_send(true, "key-1", first), options());
    BOOST_TEST(find_header(request.headers, "Idempotency-Key").value_or("") == "key-1");
    BOOST_TEST(find_header(request.headers, "Teaselpitch-Attempt").has_value() == first);
    BOOST_TEST(request.body == request_of(make_send(true, "key-1", true), options()).body);
}

// Guards against a refusal whose kind and execution state are lost.
BOOST_AUTO_TEST_CASE(a_refusal_keeps_its_kind) {
    const http_request request = request_of(make_send(true, "key-1", true), options());
    http_reply reply{
        503, {{"Teaselpitch-Error", "overloaded"}, {"Teaselpitch-Execution", "not-run"}}, "busy"};
    call_record call;
    judge_answer(request, reply, call);
    BOOST_TEST(call.error == "overloaded");
    BOOST_TEST((call.execution == execution_state::not_run));
    BOOST_TEST(!call.body_matches);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace teaselpitch
