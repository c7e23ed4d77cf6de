// Pattern: the store and many peers are cut off, and the operator publishes a configuration meanwhile.
#include "servers/membership/later_table.h"

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
    std::set<std::uint16_t> asked;  ///< Ports that ten tries go to.
};

std::ostream& operator<<(std::ostream& out, const source_case& value) {
    return out << value.name;
}

const std::vector<source_case> source_cases{
    {"nobody has a later one", {with_version(1, 7), with_version(2, 3)}, {}},
    {"no members", {}, {}},
    {"one member", {with_version(1, 8), with_version(2, 7)}, {1}},
    {"each in turn",
     {with_version(1, 8), with_version(2, 9), with_version(3, 7), with_version(4, 8)},
     {1, 2, 4}},
    {"suspects are asked, the dead are not",
     {with_version(1, 8, node_state::dead), with_version(2, 8, node_state::suspect)},
     {2}},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(later_tables)

// Guards against a node that asks one unreachable member again and again and stays on an old version.
BOOST_DATA_TEST_CASE(tries_go_to_each_member_with_a_later_table, boost::unit_test::data::make(source_cases),
                     row) {
    std::set<std::uint16_t> asked;
    for (std::uint64_t turn = 0; turn < 10; ++turn) {
        if (const auto source = find_later_table(row.members, 7, turn)) {
            asked.insert(source->port);
        }
    }
    BOOST_TEST(asked == row.asked, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
