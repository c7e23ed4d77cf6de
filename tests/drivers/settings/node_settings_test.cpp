#include "drivers/settings/node_settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

const std::string valid = R"(node:
  name: caxias-1
  availability_zone: caxias
  threads: 3
listen:
  caller: 127.0.0.1:8080
  admin: 127.0.0.1:8081
  peer: 127.0.0.1:8082
log:
  address: 127.0.0.1:7000
seeds: [127.0.0.1:8092]
)";

struct invalid_case {
    std::string name;
    std::string from;  ///< Part of the valid settings that is replaced.
    std::string to;
    std::string key_path;
    std::string reason;
};

std::ostream& operator<<(std::ostream& out, const invalid_case& value) {
    return out << value.name;
}

const std::vector<invalid_case> invalid_cases{
    {"unknown key", "threads: 3", "thread: 3", "node.thread", "unknown key"},
    {"unknown section", "seeds:", "seed:", "seed", "unknown key"},
    {"wrong type", "threads: 3", "threads: many", "node.threads", "expected an integer"},
    {"out of range", "threads: 3", "threads: 0", "node.threads", "0 is not in 1..64"},
    {"missing", "  name: caxias-1\n", "", "node.name", "missing"},
    {"empty name", "caxias-1", "\"\"", "node.name", "expected a non-empty string"},
    {"host name", "127.0.0.1:8080", "localhost:8080", "listen.caller",
     "\"localhost\" is not a numeric IP address"},
    {"invalid port", "127.0.0.1:8080", "127.0.0.1:99999", "listen.caller",
     "\"99999\" is not a port in 0..65535"},
    {"no boolean", "seeds:", "routing: {cost_aware: 2}\nseeds:", "routing.cost_aware",
     "expected true or false"},
    {"list of wrong type", "[127.0.0.1:8092]", "5", "seeds", "expected a list of ADDRESS:PORT"},
    {"invalid list element", "[127.0.0.1:8092]", "[x]", "seeds[0]", "expected ADDRESS:PORT, got \"x\""},
    {"section of wrong type", "log:\n  address: 127.0.0.1:7000", "log: 5", "log", "expected a mapping"},
    {"retention below leases", "seeds:", "claims: {retention_ms: 9000}\nseeds:", "claims.retention_ms",
     "must be at least twice lease_ms + margin_ms"},
    {"memory too small for a node", "seeds:", "limits: {memory_mb: 47}\nseeds:", "limits.memory_mb",
     "must be 0 (no bound) or at least 48"},
    {"too few descriptors", "seeds:", "limits: {max_fds: 63}\nseeds:", "limits.max_fds",
     "must be 0 (no bound) or at least 64"},
    {"too little memory for a control call", "seeds:", "limits: {peer_memory_mb: 7}\nseeds:",
     "limits.peer_memory_mb", "must be 0 (derived) or at least 8"},
    {"announcements would be refused", "seeds:", "limits: {admin_body_bytes: 1000}\nseeds:",
     "limits.admin_body_bytes", "1000 is not in 4096..8388608"},
    {"unknown level", "seeds:", "log_level: loud\nseeds:", "log_level",
     "\"loud\" is not one of debug info warning error"},
};

std::string replace_first(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(node_settings_parsing)

BOOST_AUTO_TEST_CASE(valid_settings_have_no_errors) {
    const settings_result result = parse_node_settings(valid);
    BOOST_TEST(result.errors.empty());
    BOOST_TEST(result.settings.threads == 3U);
    BOOST_TEST(result.settings.peer_advertise.port == 8082);
    BOOST_TEST(result.settings.seeds.size() == 1U);
}

// Guards against cost-aware routing in a deployment that does not ask for it.
BOOST_AUTO_TEST_CASE(cost_aware_routing_is_off_by_default) {
    BOOST_TEST(!parse_node_settings(valid).settings.cost_aware);
    const settings_result enabled =
        parse_node_settings(std::string(valid) + "\nrouting: {cost_aware: true}\n");
    BOOST_TEST(enabled.errors.empty());
    BOOST_TEST(enabled.settings.cost_aware);
}

// Guards against a misspelled setting that is ignored, and against an error without its key path.
BOOST_DATA_TEST_CASE(errors_contain_key_path_and_reason, boost::unit_test::data::make(invalid_cases),
                     sample) {
    const settings_result result = parse_node_settings(replace_first(valid, sample.from, sample.to));
    bool found = false;
    for (const settings_error& error : result.errors) {
        BOOST_TEST_MESSAGE(error.key_path + ": " + error.reason);
        found = found || (error.key_path == sample.key_path && error.reason == sample.reason);
    }
    BOOST_TEST(found);
}

// Guards against an exception or silent defaults when the text is not YAML.
BOOST_AUTO_TEST_CASE(invalid_yaml_is_an_error) {
    BOOST_TEST(parse_node_settings("node: [unclosed").errors.size() == 1U);
    BOOST_TEST(load_node_settings("/nonexistent/settings.yaml").errors.size() == 1U);
}

struct platform_bound_case {
    std::string name;
    std::string drain_limit;
    std::string window;
    std::chrono::milliseconds drain_limit_expected;
    std::chrono::seconds window_expected;
    std::size_t errors;
};

std::ostream& operator<<(std::ostream& out, const platform_bound_case& value) {
    return out << value.name;
}

const std::vector<platform_bound_case> platform_bound_cases{
    {"whole seconds", "drain_limit_s: 10", "10", std::chrono::milliseconds(10'000), std::chrono::seconds(10),
     0},
    {"fractions", "drain_limit_s: 6.5", "9.5", std::chrono::milliseconds(6'500), std::chrono::seconds(9), 0},
    {"milliseconds", "drain_limit_ms: 9000", "10", std::chrono::milliseconds(9'000), std::chrono::seconds(10),
     0},
    {"out of range", "drain_limit_s: 0", "0", std::chrono::milliseconds(6'000), std::chrono::seconds(10), 2},
};

// Guards against a node that does not start, because the platform states a bound with a fraction.
BOOST_DATA_TEST_CASE(bounds_of_the_platform_may_have_fractions,
                     boost::unit_test::data::make(platform_bound_cases), item) {
    const std::string settings = replace_first(
        valid, "log:\n  address: 127.0.0.1:7000\n",
        "store:\n  address: 127.0.0.1:7000\n  readiness_listen: 127.0.0.1:7001\n  " + item.drain_limit +
            "\nrouting:\n  fleet_retries: {ratio: 0.2, slack: 60, window_s: " + item.window + "}\n");
    const settings_result loaded = parse_node_settings(settings);
    BOOST_TEST(loaded.errors.size() == item.errors);
    BOOST_TEST_REQUIRE(loaded.settings.store.has_value());
    BOOST_TEST((loaded.settings.store->drain_limit == item.drain_limit_expected));
    BOOST_TEST_REQUIRE(loaded.settings.fleet_retries.has_value());
    BOOST_TEST((loaded.settings.fleet_retries->window == item.window_expected));
}

struct account_settings_case {
    std::string text;
    bool fail_closed;
    std::chrono::milliseconds revoke_after;
    std::size_t errors;
};

std::ostream& operator<<(std::ostream& out, const account_settings_case& value) {
    return out << value.text;
}

const std::vector<account_settings_case> account_settings_cases{
    {"", false, std::chrono::milliseconds(5'000), 0},
    {"accounts:\n  fail_closed: \"\"\n  revoke_ms: \"\"\n", false, std::chrono::milliseconds(5'000), 0},
    {"accounts:\n  fail_closed: \"true\"\n  revoke_ms: \"7000\"\n", true, std::chrono::milliseconds(7'000),
     0},
    {"accounts:\n  fail_closed: true\n  revoke_ms: 7000\n", true, std::chrono::milliseconds(7'000), 0},
    {"accounts:\n  fail_closed: \"false\"\n", false, std::chrono::milliseconds(5'000), 0},
    {"accounts:\n  fail_closed: \"maybe\"\n  revoke_ms: \"x\"\n", false, std::chrono::milliseconds(5'000), 2},
    {"accounts:\n  revoke_ms: 0\n", false, std::chrono::milliseconds(5'000), 1},
};

// Guards against a node that does not start where the platform has no value for these bounds.
BOOST_DATA_TEST_CASE(account_bounds_may_be_blank, boost::unit_test::data::make(account_settings_cases),
                     item) {
    const settings_result loaded = parse_node_settings(valid + item.text);
    BOOST_TEST(loaded.errors.size() == item.errors);
    BOOST_TEST(loaded.settings.accounts_fail_closed == item.fail_closed);
    BOOST_TEST((loaded.settings.accounts_revoke_after == item.revoke_after));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
