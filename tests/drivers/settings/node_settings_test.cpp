#include "drivers/settings/node_settings.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
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

struct fault_case {
    std::string name;
    std::string from;  ///< Text of the valid settings that is replaced.
    std::string to;
    std::string key_path;
    std::string reason;
};

std::ostream& operator<<(std::ostream& out, const fault_case& value) {
    return out << value.name;
}

const std::vector<fault_case> fault_cases{
    {"unknown key", "threads: 3", "thread: 3", "node.thread", "unknown key"},
    {"unknown section", "seeds:", "seed:", "seed", "unknown key"},
    {"wrong type", "threads: 3", "threads: many", "node.threads", "expected a whole number"},
    {"out of range", "threads: 3", "threads: 0", "node.threads", "0 is not in 1..64"},
    {"missing", "  name: caxias-1\n", "", "node.name", "missing"},
    {"empty name", "caxias-1", "\"\"", "node.name", "expected a text that is not empty"},
    {"host name", "127.0.0.1:8080", "localhost:8080", "listen.caller", "\"localhost\" is not a numeric IP address"},
    {"bad port", "127.0.0.1:8080", "127.0.0.1:99999", "listen.caller", "\"99999\" is not a port in 0..65535"},
    {"list of wrong type", "[127.0.0.1:8092]", "5", "seeds", "expected a list of ADDRESS:PORT"},
    {"bad list element", "[127.0.0.1:8092]", "[x]", "seeds[0]", "expected ADDRESS:PORT, got \"x\""},
    {"section of wrong type", "log:\n  address: 127.0.0.1:7000", "log: 5", "log", "expected a mapping"},
    {"retention below leases", "seeds:", "claims: {retention_ms: 9000}\nseeds:", "claims.retention_ms",
     "must be at least twice lease_ms + margin_ms"},
    {"unknown level", "seeds:", "log_level: loud\nseeds:", "log_level",
     "\"loud\" is not one of debug info warning error"},
};

std::string replaced(std::string text, const std::string& from, const std::string& to) {
    return text.replace(text.find(from), from.size(), to);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(node_settings_file)

BOOST_AUTO_TEST_CASE(valid_settings_have_no_faults) {
    const settings_result result = parse_node_settings(valid);
    BOOST_TEST(result.faults.empty());
    BOOST_TEST(result.settings.threads == 3U);
    BOOST_TEST(result.settings.peer_advertise.port == 8082);
    BOOST_TEST(result.settings.seeds.size() == 1U);
}

// Guards against a mistyped setting that is ignored, and against a message that does not say where it is.
BOOST_DATA_TEST_CASE(faults_name_path_and_reason, boost::unit_test::data::make(fault_cases), sample) {
    const settings_result result = parse_node_settings(replaced(valid, sample.from, sample.to));
    bool found = false;
    for (const settings_fault& fault : result.faults) {
        BOOST_TEST_MESSAGE(fault.key_path + ": " + fault.reason);
        found = found || (fault.key_path == sample.key_path && fault.reason == sample.reason);
    }
    BOOST_TEST(found);
}

// Guards against an exception or a silent default for text that is not YAML.
BOOST_AUTO_TEST_CASE(broken_yaml_is_a_fault) {
    BOOST_TEST(parse_node_settings("node: [unclosed").faults.size() == 1U);
    BOOST_TEST(load_node_settings("/nonexistent/settings.yaml").faults.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
