// Covers a node that cannot reach the store and many of its peers while a configuration is published.
#include "servers/membership/newer_table_peer.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>
#include <vector>

namespace teaselpitch {
namespace {

member with_version(std::uint16_t port, std::uint64_t version, node_state state = node_state::alive) {
    member result;
    result.peer = {"10.0.0.1", port};
    result.table_version = version;
    result.state = state;
    return result;
}

struct source_case {
    const char* name;
    std::vector<member> members;
    std::set<std::uint16_t> contacted_ports;  ///< Ports that ten attempts contact.
};

std::ostream& operator<<(std::ostream& out, const source_case& value) {
    return out << value.name;
}

const std::vector<source_case> source_cases{
    {"no member has a newer table", {with_version(1, 7), with_version(2, 3)}, {}},
    {"no members", {}, {}},
    {"one member", {with_version(1, 8), with_version(2, 7)}, {1}},
    {"every member with a newer table",
     {with_version(1, 8), with_version(2, 9), with_version(3, 7), with_version(4, 8)},
     {1, 2, 4}},
    {"suspect members are contacted, dead members are not",
     {with_version(1, 8, node_state::dead), with_version(2, 8, node_state::suspect)},
     {2}},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(newer_table_peers)

// Guards against a node that always contacts the same unreachable member and stays on an old version.
BOOST_DATA_TEST_CASE(attempts_contact_each_member_with_a_newer_table,
                     boost::unit_test::data::make(source_cases), row) {
    std::set<std::uint16_t> contacted_ports;
    for (std::uint64_t attempt = 0; attempt < 10; ++attempt) {
        if (const auto source = find_newer_table_peer(row.members, 7, attempt)) {
            contacted_ports.insert(source->port);
        }
    }
    BOOST_TEST(contacted_ports == row.contacted_ports, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
