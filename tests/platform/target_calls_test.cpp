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

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

std::string nested_arrays(std::size_t depth) {
    return std::string(depth, '[') + std::string(depth, ']');
}

admin_request post(std::string path, std::string body) {
    admin_request request;
    request.method = "POST";
    request.path = std::move(path);
    request.body = std::move(body);
    return request;
}

struct invalid_case {
    const char* name;
    std::string body;
};

std::ostream& operator<<(std::ostream& out, const invalid_case& value) {
    return out << value.name;
}

const std::vector<invalid_case> invalid_cases{
    {"unreadable bytes", "\xff\xfe{"},
    {"empty", ""},
    {"not an object", "7"},
    {"no address", replace_first(valid, "\"address\"", "\"addr\"")},
    {"no version", replace_first(valid, "\"version\":\"v1\",", "")},
    {"no zone", replace_first(valid, "\"zone\":\"caxias\",", "")},
    {"neither version nor zone", replace_first(valid, "\"version\":\"v1\",\"zone\":\"caxias\",", "")},
    {"empty version", replace_first(valid, "\"v1\"", "\"\"")},
    {"empty zone", replace_first(valid, "\"caxias\"", "\"\"")},
    {"version that is not a string", replace_first(valid, "\"v1\"", "1")},
    {"zone that is not a string", replace_first(valid, "\"caxias\"", "[]")},
    {"no sequence", replace_first(valid, ",\"sequence\":7", "")},
    {"host name as address", replace_first(valid, "10.128.0.9:8080", "web:8080")},
    {"no service", replace_first(valid, "\"service\":\"vitrine\",", "")},
    {"service that is not a string", replace_first(valid, "\"vitrine\"", "5")},
    {"zero slots", replace_first(valid, "\"slots\":4", "\"slots\":0")},
    {"slots that are not a number", replace_first(valid, "\"slots\":4", "\"slots\":\"4\"")},
    {"unknown state", replace_first(valid, "\"ready\"", "\"sleeping\"")},
    {"no state", replace_first(valid, "\"state\":\"ready\",", "")},
    {"negative sequence", replace_first(valid, "\"sequence\":7", "\"sequence\":-7")},
    {"info that is not an object",
     replace_first(valid,
                   "\"info\":{\"service\":\"vitrine\",\"version\":\"v1\",\"zone\":\"caxias\",\"slots\":4}",
                   "\"info\":[]")},
    {"10,000 nested arrays", nested_arrays(10'000)},
    {"10,000 nested arrays in a field that is not read",
     replace_first(valid, "\"version\":\"v1\"", "\"version\":" + nested_arrays(10'000))},
    {"port 65536", replace_first(valid, ":8080", ":65536")},
    {"port -1", replace_first(valid, ":8080", ":-1")},
    {"port 0", replace_first(valid, ":8080", ":0")},
    {"port with letters", replace_first(valid, ":8080", ":80x")},
    {"port beyond 64 bits", replace_first(valid, ":8080", ":18446744073709559696")},
    {"slots beyond 32 bits", replace_first(valid, "\"slots\":4", "\"slots\":4294967300")},
    {"slots as a fraction", replace_first(valid, "\"slots\":4", "\"slots\":4.5")},
    {"slots beyond any number", replace_first(valid, "\"slots\":4", "\"slots\":1e400")},
    {"sequence beyond 64 bits", replace_first(valid, "\"sequence\":7", "\"sequence\":18446744073709551617")},
    {"born beyond 64 bits", replace_first(valid, "1790000000123", "1e30")},
    {"born that is negative", replace_first(valid, "1790000000123", "-1")},
    {"cold start beyond 64 bits", replace_first(valid, "1200", "99999999999999999999")},
    {"born that is not a number", replace_first(valid, "1790000000123", "\"today\"")},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(platform_target_calls)

// Guards against a field of a heartbeat that is assigned to the wrong field of the announcement.
BOOST_AUTO_TEST_CASE(heartbeat_is_read_as_announcement) {
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
        read_target_call(post("/Instances.Heartbeat/i-7f", replace_first(valid, "ready", "draining")));
    BOOST_TEST(((*draining)->announced->state == target_lifecycle::leaving));
}

// Guards against an invalid heartbeat that registers a target.
BOOST_DATA_TEST_CASE(invalid_heartbeats_are_rejected, boost::unit_test::data::make(invalid_cases), row) {
    const auto call = read_target_call(post("/Instances.Heartbeat/i-7f", row.body));
    BOOST_REQUIRE(call.has_value());
    BOOST_TEST(!call->ok());
}

// Guards against a deregistration that is rejected because its body is empty.
BOOST_AUTO_TEST_CASE(deregistration_body_is_optional) {
    const auto plain = read_target_call(post("/Instances.Deregister/i-7f", ""));
    BOOST_REQUIRE((plain.has_value() && plain->ok()));
    BOOST_TEST((*plain)->departure->target == "i-7f");
    BOOST_TEST(!(*plain)->departure->incarnation.has_value());
    const auto dated = read_target_call(post("/Instances.Deregister/i-7f", R"({"born":5})"));
    BOOST_TEST((*dated)->departure->incarnation.value_or(0) == 5U);
}

// Guards against requests of the project's own interface that are handled as the platform's.
BOOST_AUTO_TEST_CASE(other_requests_are_not_target_calls) {
    BOOST_TEST(!read_target_call(post("/v1/announce", valid)).has_value());
    BOOST_TEST(!read_target_call(post("/Instances.Heartbeat/", valid)).has_value());
    admin_request probe;
    probe.method = "GET";
    probe.path = "/readiness";
    BOOST_TEST(!read_target_call(probe).has_value());
    BOOST_TEST(is_readiness_probe(probe));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::platform
