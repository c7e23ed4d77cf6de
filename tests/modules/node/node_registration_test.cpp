#include "modules/node/node_registration.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

struct record_case {
    const char* name;
    std::string key;
    std::string value;
    bool valid;
};

std::ostream& operator<<(std::ostream& out, const record_case& value) {
    return out << value.name;
}

const std::vector<record_case> record_cases{
    {"valid record", "n1", "17 10.0.0.1:7620", true},
    {"no node name", "", "17 10.0.0.1:7620", false},
    {"no incarnation", "n1", "10.0.0.1:7620", false},
    {"text as incarnation", "n1", "x 10.0.0.1:7620", false},
    {"host name instead of an address", "n1", "17 web:7620", false},
    {"no port", "n1", "17 10.0.0.1", false},
    {"port 65536", "n1", "17 10.0.0.1:65536", false},
    {"port -1", "n1", "17 10.0.0.1:-1", false},
    {"port 0", "n1", "17 10.0.0.1:0", false},
    {"port beyond 64 bits", "n1", "17 10.0.0.1:18446744073709559236", false},
    {"incarnation beyond 64 bits", "n1", "99999999999999999999 10.0.0.1:7620", false},
    {"negative incarnation", "n1", "-1 10.0.0.1:7620", false},
    {"10,000 nested arrays", "n1", std::string(10'000, '[') + std::string(10'000, ']'), false},
    {"empty", "n1", "", false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(node_registration_tests)

// Guards against malformed or foreign records in the topic that are used as contacts.
BOOST_DATA_TEST_CASE(malformed_records_are_rejected, boost::unit_test::data::make(record_cases), row) {
    const auto node = decode_registration(row.key, row.value);
    BOOST_TEST(node.ok() == row.valid);
    if (node.ok()) {
        BOOST_TEST(encode_registration(*node) == row.value);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
