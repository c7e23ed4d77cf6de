#include "platform/operator_document.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch::platform {
namespace {

const std::string valid = R"({"version":"0000001f","baseVersion":"0000001c","resources":[
{"resourceType":"routes","metadata":{"name":"r-1"},"spec":{"host":"maker.example","pathPrefix":"/catalog/",
 "kind":"safe","timeoutMs":4000,"targetLatencyMs":1500,"priority":2,
 "trafficSplit":[{"service":"vitrine","weight":90},{"service":"contratos","weight":10}],"attempts":2}},
{"resourceType":"routes","metadata":{"name":"r-2"},"spec":{"host":"maker.example","pathPrefix":"/deposit/",
 "kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1200,"priority":1,"service":"contratos","attempts":2}},
{"resourceType":"routes","metadata":{"name":"r-3"},"spec":{"host":"maker.example","pathPrefix":"/photos/",
 "kind":"upload","timeoutMs":5000,"service":"vitrine"}},
{"resourceType":"services","metadata":{"name":"vitrine"},"spec":{"healthPath":"/health","maxConnections":360}},
{"resourceType":"services","metadata":{"name":"contratos"},"spec":{"healthPath":"/ok","maxConnections":300}},
{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":8192,"maxBodyBytes":1000,"headerTimeoutMs":3000,
 "idleTimeoutMs":15000}}]})";

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

struct invalid_case {
    const char* name;
    std::string document;
    std::string reason;  ///< Substring of the error message.
};

std::ostream& operator<<(std::ostream& out, const invalid_case& value) {
    return out << value.name;
}

const std::vector<invalid_case> invalid_cases{
    {"not JSON", "\x01\x02", "not JSON"},
    {"truncated", valid.substr(0, valid.size() / 2), "not JSON"},
    {"not an object", "[]", "version"},
    {"10,000 nested arrays", std::string(10'000, '[') + std::string(10'000, ']'), "not JSON"},
    {"timeout beyond 64 bits",
     replace_first(valid, "\"timeoutMs\":3000", "\"timeoutMs\":18446744073709551617"), "timeoutMs"},
    {"timeout beyond any number", replace_first(valid, "\"timeoutMs\":3000", "\"timeoutMs\":1e400"),
     "timeoutMs"},
    {"version beyond 64 bits", replace_first(valid, "0000001f", "10000000000000000"), ""},
    {"no version", replace_first(valid, "\"version\"", "\"v\""), "version"},
    {"version that is not hexadecimal", replace_first(valid, "0000001f", "v31"), "hexadecimal"},
    {"version 0", replace_first(valid, "0000001f", "00000000"), "above 0"},
    {"version as a number", replace_first(valid, "\"0000001f\"", "31"), "version"},
    {"no resources", replace_first(valid, "\"resources\"", "\"things\""), "resources"},
    {"unknown kind", replace_first(valid, "\"unsafe\"", "\"maybe\""), "\"maybe\" is unknown"},
    {"unknown service",
     replace_first(valid, "\"service\":\"contratos\",\"attempts\"", "\"service\":\"nobody\",\"attempts\""),
     "nobody"},
    {"negative timeout", replace_first(valid, "\"timeoutMs\":3000", "\"timeoutMs\":-1"), "timeoutMs"},
    {"timeout that is not a number", replace_first(valid, "\"timeoutMs\":3000", "\"timeoutMs\":\"3000\""),
     "timeoutMs"},
    {"missing timeout", replace_first(valid, "\"timeoutMs\":3000,", ""), "timeoutMs"},
    {"split without weight",
     replace_first(valid, "{\"service\":\"contratos\",\"weight\":10}", "{\"service\":\"contratos\"}"),
     "weight"},
    {"split without parts",
     replace_first(valid,
                   "[{\"service\":\"vitrine\",\"weight\":90},"
                   "{\"service\":\"contratos\",\"weight\":10}]",
                   "[]"),
     "trafficSplit"},
    {"all weights 0", replace_first(replace_first(valid, ":90}", ":0}"), ":10}", ":0}"), "split"},
    {"two routes with one key", replace_first(valid, "/photos/", "/deposit/"), "more than once"},
    {"spec that is not an object",
     replace_first(valid, "\"spec\":{\"healthPath\":\"/ok\",\"maxConnections\":300}", "\"spec\":5"), "spec"},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(operator_document)

// Guards against a field of the document that is stored in the wrong column or in the wrong unit.
BOOST_AUTO_TEST_CASE(each_field_reaches_its_column) {
    const auto read = decode_operator_document(valid);
    BOOST_REQUIRE_MESSAGE(read.ok(), read.status().ToString());
    BOOST_TEST(read->version == 0x1fU);
    BOOST_TEST(read->document == valid);
    const route_row* split = read->rows->route("maker.example", "/catalog/");
    BOOST_REQUIRE(split != nullptr);
    BOOST_TEST(split->split == "vitrine:90|contratos:10");
    BOOST_TEST((split->non_idempotent == non_idempotent_rule::no));
    BOOST_TEST(split->timeout_ms == 4000U);
    BOOST_TEST(split->objective_ms == 1500U);
    BOOST_TEST(split->attempts == 2U);
    BOOST_TEST(split->priority == 2U);
    const route_row* deposit = read->rows->route("maker.example", "/deposit/");
    BOOST_REQUIRE(deposit != nullptr);
    BOOST_TEST(deposit->service == "contratos");
    BOOST_TEST((deposit->non_idempotent == non_idempotent_rule::yes));
    const route_row* photos = read->rows->route("maker.example", "/photos/");
    BOOST_REQUIRE(photos != nullptr);
    BOOST_TEST((photos->non_idempotent == non_idempotent_rule::yes));
    BOOST_TEST(photos->attempts == 1U);
    const service_row* contratos = read->rows->service("contratos", "caxias");
    BOOST_REQUIRE(contratos != nullptr);
    BOOST_TEST(contratos->health_path == "/ok");
    BOOST_TEST(contratos->connections == 300U);
    BOOST_TEST(read->limits.max_header_bytes == 8192U);
    BOOST_TEST(read->limits.max_body_bytes == 1000U);
    BOOST_TEST(read->limits.header_timeout.count() == 3000);
    BOOST_TEST(read->limits.idle_timeout.count() == 15000);
}

// Guards against a document that is invalid, or written by something else, and is applied in part.
BOOST_DATA_TEST_CASE(invalid_documents_are_rejected, boost::unit_test::data::make(invalid_cases), row) {
    const auto read = decode_operator_document(row.document);
    BOOST_REQUIRE(!read.ok());
    BOOST_TEST((std::string(read.status().message()).find(row.reason) != std::string::npos),
               read.status().ToString());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::platform
