#include "platform/target_calls.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch::platform {
namespace {

const std::string valid =
    R"({"born":1790000000123,"address":"10.128.0.9:8080","info":{"service":"vitrine","version":"v1",)"
    R"("zone":"caxias","slots":4},"status":{"state":"ready","sequence":7,"coldRemainingMs":1200}})";

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

admin_request post(std::string path, std::string body) {
    admin_request request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = std::move(body);
    return request;
}

struct fault_case {
    const char* name;
    std::string body;
};

std::ostream& operator<<(std::ostream& out, const fault_case& value) {
    return out << value.name;
}

const std::vector<fault_case> fault_cases{
    {"unreadable bytes", "\xff\xfe{"},
    {"empty", ""},
    {"no object", "7"},
    {"no address", replaced(valid, "\"address\"", "\"addr\"")},
    {"host name as address", replaced(valid, "10.128.0.9:8080", "web:8080")},
    {"no service", replaced(valid, "\"service\":\"vitrine\",", "")},
    {"service of another type", replaced(valid, "\"vitrine\"", "5")},
    {"no slots", replaced(valid, "\"slots\":4", "\"slots\":0")},
    {"slots of another type", replaced(valid, "\"slots\":4", "\"slots\":\"4\"")},
    {"unknown state", replaced(valid, "\"ready\"", "\"sleeping\"")},
    {"no state", replaced(valid, "\"state\":\"ready\",", "")},
    {"negative sequence", replaced(valid, "\"sequence\":7", "\"sequence\":-7")},
    {"info of another type",
     replaced(valid, "\"info\":{\"service\":\"vitrine\",\"version\":\"v1\",\"zone\":\"caxias\",\"slots\":4}",
              "\"info\":[]")},
    {"born of another type", replaced(valid, "1790000000123", "\"today\"")},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(calls_of_targets)

// Guards against a field of a heartbeat that is read as something else.
BOOST_AUTO_TEST_CASE(heartbeat_becomes_an_announcement) {
    const auto call = read_target_call(post("/Instances.Heartbeat/i-7f", valid));
    BOOST_REQUIRE(call.has_value());
    BOOST_REQUIRE_MESSAGE(call->ok(), call->status().ToString());
    BOOST_REQUIRE((*call)->announced.has_value());
    const announcement& message = *(*call)->announced;
    BOOST_TEST(message.identity.name == "i-7f");
    BOOST_TEST(message.identity.incarnation == 1790000000123U);
    BOOST_TEST(message.service == "vitrine");
    BOOST_TEST(to_string(message.address) == "10.128.0.9:8080");
    BOOST_TEST(message.slots == 4U);
    BOOST_TEST((message.state == target_lifecycle::ready));
    BOOST_TEST(message.sequence == 7U);
    BOOST_TEST(message.remaining_cold_start.count() == 1200);
    const auto draining =
        read_target_call(post("/Instances.Heartbeat/i-7f", replaced(valid, "ready", "draining")));
    BOOST_TEST(((*draining)->announced->state == target_lifecycle::leaving));
}

// Guards against a heartbeat of another writer that names a target.
BOOST_DATA_TEST_CASE(faulty_heartbeats_name_no_target, boost::unit_test::data::make(fault_cases), row) {
    const auto call = read_target_call(post("/Instances.Heartbeat/i-7f", row.body));
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST(!call->ok());
}

// Guards against a farewell that is not taken because it says little.
BOOST_AUTO_TEST_CASE(departure_may_be_empty) {
    const auto plain = read_target_call(post("/Instances.Deregister/i-7f", ""));
    BOOST_REQUIRE((plain.has_value() && plain->ok()));
    BOOST_TEST((*plain)->departure->target == "i-7f");
    BOOST_TEST(!(*plain)->departure->incarnation.has_value());
    const auto dated = read_target_call(post("/Instances.Deregister/i-7f", R"({"born":5})"));
    BOOST_TEST((*dated)->departure->incarnation.value_or(0) == 5U);
}

// Guards against requests of the project's own interface that are taken for the platform's.
BOOST_AUTO_TEST_CASE(other_requests_are_left_alone) {
    BOOST_TEST(!read_target_call(post("/v1/announce", valid)).has_value());
    BOOST_TEST(!read_target_call(post("/Instances.Heartbeat/", valid)).has_value());
    admin_request question;
    question.method = "GET";
    question.path = "/readiness";
    BOOST_TEST(!read_target_call(question).has_value());
    BOOST_TEST(is_readiness_question(question));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::platform
