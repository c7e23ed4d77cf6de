#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "platform/operator_document.h"

namespace teaselpitch::platform {
namespace {

const std::string valid = R"({"version":"0000001f","resources":[
{"resourceType":"routes","metadata":{"name":"r-1"},"spec":{"host":"maker.example","pathPrefix":"/catalog/",
 "kind":"safe","timeoutMs":4000,"service":"vitrine","public":true}},
{"resourceType":"routes","metadata":{"name":"r-2"},"spec":{"host":"maker.example","pathPrefix":"/deposit/",
 "kind":"unsafe","timeoutMs":3000,"service":"vitrine","public":false}},
{"resourceType":"routes","metadata":{"name":"r-3"},"spec":{"host":"maker.example","pathPrefix":"/photos/",
 "kind":"upload","timeoutMs":5000,"service":"vitrine"}},
{"resourceType":"services","metadata":{"name":"vitrine"},"spec":{"healthPath":"/health","maxConnections":360}},
{"resourceType":"tenants","metadata":{"name":"pulo780"},
 "spec":{"apiKeys":["nr26tta828m82thhkmgj","qnirth5mgjy5rcpihhac"],"priority":1,"ratePerS":86,"burst":90.5}},
{"resourceType":"tenants","metadata":{"name":"jota"},"spec":{"apiKeys":["k3"],"ratePerS":0,"burst":0}},
{"resourceType":"tenants","metadata":{"name":"bare"},"spec":{"apiKeys":["k4"]}}]})";

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

struct invalid_case {
    const char* name;
    std::string from;  ///< Part of the valid document that is replaced.
    std::string to;
    std::string reason;  ///< Substring of the error message.
};

std::ostream& operator<<(std::ostream& out, const invalid_case& value) {
    return out << value.name;
}

const std::vector<invalid_case> invalid_cases{
    {"key of two accounts", R"(["k3"])", R"(["qnirth5mgjy5rcpihhac"])", "has a key of account"},
    {"two accounts with one name", R"("name":"jota")", R"("name":"bare")", "more than once"},
    {"account without a list of keys", R"("apiKeys":["k3"],)", "", "resources[5].apiKeys is not a list"},
    {"empty key", R"(["k3"])", R"(["k3",""])", "empty key"},
    {"key that is a number", R"(["k3"])", R"(["k3",17])", "resources[5].apiKeys is not a list of strings"},
    {"keys that are a string", R"(["k3"])", R"("k3")", "apiKeys is not a list"},
    {"negative rate", R"("ratePerS":86)", R"("ratePerS":-1)", "ratePerS"},
    {"negative burst", R"("burst":90.5)", R"("burst":-0.5)", "burst"},
    {"burst without a rate", R"("ratePerS":0,"burst":0)", R"("burst":5)", "burst without a rate"},
    {"rate of the wrong type", R"("ratePerS":86)", R"("ratePerS":"86")", "ratePerS is not a number"},
    {"rate that is null", R"("ratePerS":86)", R"("ratePerS":null)", "ratePerS is not a number"},
    {"burst of the wrong type", R"("burst":90.5)", R"("burst":[90])", "burst is not a number"},
    {"rate that is too large", R"("ratePerS":86)", R"("ratePerS":1e10)", "ratePerS is not a number in"},
    {"rate beyond any number", R"("ratePerS":86)", R"("ratePerS":1e400)", "ratePerS"},
    {"burst beyond 64 bits", R"("burst":90.5)", R"("burst":18446744073709551617)", "burst"},
    {"priority that is too large", R"("priority":1)", R"("priority":101)", "priority"},
    {"priority beyond 64 bits", R"("priority":1)", R"("priority":18446744073709551617)", "priority"},
    {"negative priority", R"("priority":1)", R"("priority":-1)", "priority"},
    {"priority with a fraction", R"("priority":1)", R"("priority":1.5)", "priority"},
    {"priority of the wrong type", R"("priority":1)", R"("priority":"1")", "priority"},
    {"priority that is null", R"("priority":1)", R"("priority":null)", "priority"},
    {"account without a name", R"({"name":"jota"})", "{}", "metadata.name"},
    {"empty account name", R"("name":"jota")", R"("name":"")", "metadata.name"},
    {"account name with a line break", R"("name":"jota")", R"("name":"jota\r\nHost: x")", "control byte"},
    {"spec that is a list", R"("spec":{"apiKeys":["k4"]})", R"("spec":["k4"])", "spec"},
    {"public as a string", R"("public":true)", R"("public":"true")", "public is not true or false"},
    {"public as a number", R"("public":true)", R"("public":1)", "public is not true or false"},
    {"public that is null", R"("public":true)", R"("public":null)", "public is not true or false"},
};

std::string make_document_with_routes(int count) {
    std::string text = R"({"version":"00000002","resources":[
{"resourceType":"services","metadata":{"name":"s"},"spec":{"healthPath":"/health"}})";
    for (int i = 0; i < count; ++i) {
        const std::string number = std::to_string(i);
        text.append(R"(,{"resourceType":"routes","metadata":{"name":"r)")
            .append(number)
            .append(R"("},"spec":{"host":"h.example","pathPrefix":"/p)")
            .append(number)
            .append(R"(/","kind":"safe","timeoutMs":1000,"service":"s","public":)")
            .append(i % 2 == 0 ? "true" : "false")
            .append("}}");
    }
    return text + "]}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(account_documents)

// Guards against a field of an account that is ignored or stored in the wrong place.
BOOST_AUTO_TEST_CASE(each_field_of_an_account_is_read) {
    const auto read = decode_operator_document(valid);
    BOOST_REQUIRE_MESSAGE(read.ok(), read.status().ToString());
    const account_directory& accounts = *read->accounts;
    BOOST_TEST(accounts.size() == 3U);
    const client_account* pulo = accounts.find_by_key("qnirth5mgjy5rcpihhac");
    BOOST_REQUIRE(pulo != nullptr);
    BOOST_TEST(pulo == accounts.find_by_key("nr26tta828m82thhkmgj"));
    BOOST_TEST(pulo->name == "pulo780");
    BOOST_TEST((pulo->rank == std::optional<std::uint32_t>(1)));
    BOOST_TEST((pulo->quota == account_quota{86, 90.5}));
    const client_account* jota = accounts.find("jota");
    BOOST_REQUIRE(jota != nullptr);
    BOOST_TEST(jota == accounts.find_by_key("k3"));
    BOOST_TEST(!jota->quota.is_limited());
    const client_account* bare = accounts.find_by_key("k4");
    BOOST_REQUIRE(bare != nullptr);
    BOOST_TEST(!bare->rank.has_value());
    BOOST_TEST(!bare->quota.is_limited());
}

// Guards against a route that is public without being marked so.
BOOST_AUTO_TEST_CASE(only_marked_routes_are_public) {
    const auto read = decode_operator_document(valid);
    BOOST_REQUIRE_MESSAGE(read.ok(), read.status().ToString());
    BOOST_TEST((read->rows->route("maker.example", "/catalog/")->access == route_access::everyone));
    BOOST_TEST((read->rows->route("maker.example", "/deposit/")->access == route_access::accounts));
    BOOST_TEST((read->rows->route("maker.example", "/photos/")->access == route_access::accounts));
}

// Guards against accounts that are applied although a part of them is invalid, and against a reason, which is
// logged, that shows a key.
BOOST_DATA_TEST_CASE(invalid_accounts_are_rejected, boost::unit_test::data::make(invalid_cases), row) {
    BOOST_REQUIRE(valid.find(row.from) != std::string::npos);
    const auto read = decode_operator_document(replace_first(valid, row.from, row.to));
    BOOST_REQUIRE(!read.ok());
    const std::string message(read.status().message());
    BOOST_TEST((message.find(row.reason) != std::string::npos), message);
    for (const char* key : {"nr26tta828m82thhkmgj", "qnirth5mgjy5rcpihhac", "k3", "k4"}) {
        BOOST_TEST((message.find(key) == std::string::npos), message);
    }
    BOOST_TEST((message.find('\n') == std::string::npos), message);
}

// Guards against a version that is refused because the operator withdrew all keys of an account.
BOOST_AUTO_TEST_CASE(an_account_may_lose_all_keys) {
    const auto read = decode_operator_document(replace_first(valid, R"(["k3"])", "[]"));
    BOOST_REQUIRE_MESSAGE(read.ok(), read.status().ToString());
    BOOST_TEST(read->accounts->find("jota") != nullptr);
    BOOST_TEST(read->accounts->find_by_key("k3") == nullptr);
}

// Guards against a configuration without accounts that asks callers for keys.
BOOST_AUTO_TEST_CASE(a_document_without_accounts_has_an_empty_directory) {
    const auto read = decode_operator_document(make_document_with_routes(1));
    BOOST_REQUIRE_MESSAGE(read.ok(), read.status().ToString());
    BOOST_TEST(read->accounts->empty());
}

// Guards against a limit on the number of routes in one document.
BOOST_AUTO_TEST_CASE(many_routes_at_once) {
    const auto read = decode_operator_document(make_document_with_routes(1'400));
    BOOST_REQUIRE_MESSAGE(read.ok(), read.status().ToString());
    BOOST_TEST(read->rows->routes().size() == 1'400U);
    BOOST_TEST((read->rows->route("h.example", "/p1398/")->access == route_access::everyone));
    BOOST_TEST((read->rows->route("h.example", "/p1399/")->access == route_access::accounts));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch::platform
