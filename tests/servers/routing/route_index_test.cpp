#include "servers/routing/route_index.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <cstddef>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "tests/servers/routing/allocation_count.h"

namespace teaselpitch {

std::ostream& operator<<(std::ostream& out, idempotency_rule rule) {
    return out << static_cast<int>(rule);
}

BOOST_AUTO_TEST_SUITE(routes)

using namespace std::chrono_literals;

const std::vector<route_entry> small_table{
    {"*", "/", "any", idempotency_rule::automatic, 1s},
    {"*", "/api", "any_api", idempotency_rule::automatic, 1s},
    {"shop.example", "/orders", "orders", idempotency_rule::automatic, 2s},
    {"shop.example", "/orders/archive/", "archive", idempotency_rule::idempotent, 3s},
    {"shop.example", "/orders", "never", idempotency_rule::automatic, 9s},
    {"Limits.Example", "/", "limits", idempotency_rule::non_idempotent, 4s},
};

const std::vector<std::tuple<std::string, std::string, std::string>> lookup_cases{
    {"shop.example", "/orders", "orders"},
    {"SHOP.example", "/orders/7", "orders"},
    {"shop.example", "/orders?x=/archive", "orders"},
    {"shop.example", "/orders/archive", "orders"},
    {"shop.example", "/orders/archive?x", "orders"},
    {"shop.example", "/orders/archive/", "archive"},
    {"shop.example", "/orders/archive/?x", "archive"},
    {"shop.example", "/orders/archive//", "archive"},
    {"shop.example", "/orders/", "orders"},
    {"shop.example", "/orders/archive/2020/1", "archive"},
    {"shop.example", "/orders/archives", "orders"},
    {"shop.example", "/ordersarchive", "any"},
    {"shop.example", "/api/1", "any_api"},
    {"other.example", "/orders", "any"},
    {"limits.example", "/api", "limits"},
    {"limits.example", "/?a=b", "limits"},
    {"", "/api?query", "any_api"},
    {std::string(300, 'h'), "/apix", "any"},
    {"shop.example", "no-slash", ""},
    {"shop.example", "", ""},
};

// Guards against a request that is routed by another host, by a shorter prefix or by a prefix that ends
// within a path segment.
BOOST_DATA_TEST_CASE(finds_longest_prefix_of_best_host, boost::unit_test::data::make(lookup_cases), host,
                     path, service) {
    const route_index index(small_table);
    const auto found = index.find(host, path, "GET");
    BOOST_TEST((found ? found->service : "") == service);
}

const std::vector<route_entry> nested_table{
    {"*", "/", "unsafe_root", idempotency_rule::non_idempotent, 1s},
    {"*", "/x/", "safe_below_x", idempotency_rule::idempotent, 1s},
    {"*", "/x/y", "y", idempotency_rule::non_idempotent, 1s},
    {"*", "/x/y/", "safe_below_y", idempotency_rule::idempotent, 1s},
    {"slashed.example", "/x/", "safe_below_x", idempotency_rule::idempotent, 1s},
};

const std::vector<std::tuple<std::string, std::string, std::string>> trailing_slash_cases{
    {"a.example", "/x", "unsafe_root"},        {"a.example", "/x?/", "unsafe_root"},
    {"a.example", "/x/", "safe_below_x"},      {"a.example", "/x/z", "safe_below_x"},
    {"a.example", "/xx/", "unsafe_root"},      {"a.example", "/x/y", "y"},
    {"a.example", "/x/y/", "safe_below_y"},    {"a.example", "/x/y/z", "safe_below_y"},
    {"a.example", "/x/yy", "safe_below_x"},    {"a.example", "/x//y", "safe_below_x"},
    {"slashed.example", "/x", "unsafe_root"},  {"slashed.example", "/x/", "safe_below_x"},
    {"slashed.example", "/xy", "unsafe_root"}, {"slashed.example", "/x/y", "safe_below_x"},
};

// Guards against a prefix "/x/" that also selects the path "/x", so that a non-idempotent request gets the
// kind and the service of another route and is sent twice.
BOOST_DATA_TEST_CASE(prefix_with_slash_does_not_select_path_without_it,
                     boost::unit_test::data::make(trailing_slash_cases), host, path, service) {
    const route_index index(nested_table);
    const auto found = index.find(host, path, "POST");
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->service == service);
    BOOST_TEST(found->non_idempotent == (service == "unsafe_root" || service == "y"));
}

const std::vector<std::tuple<idempotency_rule, std::string, bool>> idempotency_cases{
    {idempotency_rule::automatic, "GET", false},      {idempotency_rule::automatic, "PUT", false},
    {idempotency_rule::automatic, "DELETE", false},   {idempotency_rule::automatic, "POST", true},
    {idempotency_rule::automatic, "PATCH", true},     {idempotency_rule::non_idempotent, "GET", true},
    {idempotency_rule::non_idempotent, "POST", true}, {idempotency_rule::idempotent, "POST", false},
    {idempotency_rule::idempotent, "GET", false},
};

// Guards against a non-idempotent request that is retried as an idempotent one.
BOOST_DATA_TEST_CASE(idempotency_follows_rule_and_method, boost::unit_test::data::make(idempotency_cases),
                     rule, method, expected) {
    const std::vector<route_entry> routes{{"*", "/", "any", rule, 1s}};
    const route_index index(routes);
    const auto found = index.find("host", "/x", method);
    BOOST_TEST_REQUIRE(found.has_value());
    BOOST_TEST(found->non_idempotent == expected);
}

// Guards against collisions and lost routes at the size expected in two years.
BOOST_AUTO_TEST_CASE(holds_28000_routes) {
    std::vector<route_entry> routes;
    for (int i = 0; i < 28'000; ++i) {
        const std::string number = std::to_string(i);
        routes.push_back({"host" + std::to_string(i % 700), "/tenant/" + number, "service" + number,
                          idempotency_rule::automatic, 1s});
    }
    const route_index index(routes);
    BOOST_TEST(index.size() == routes.size());
    for (int i = 0; i < 28'000; ++i) {
        const std::string number = std::to_string(i);
        const auto found = index.find("host" + std::to_string(i % 700), "/tenant/" + number + "/a?b", "GET");
        BOOST_TEST_REQUIRE((found && found->service == "service" + number), number);
    }
}

// Guards against an allocation per request on the request path.
BOOST_AUTO_TEST_CASE(lookup_does_not_allocate) {
    const route_index index(small_table);
    const std::string host = "SHOP.example.with.a.name.that.is.longer.than.any.small.string";
    const std::string path = "/orders/archive" + std::string(1'000, 'x') + std::string(1'000, '/') + "?a=b";
    const std::size_t before = allocation_count();
    const bool found = index.find(host, path, "POST").has_value() && index.find("shop.example", path, "GET");
    const std::size_t after = allocation_count();
    BOOST_TEST(before > 0U);
    BOOST_TEST(found);
    BOOST_TEST(after == before);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
