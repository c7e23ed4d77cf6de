#include "servers/table/traffic_split.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {
namespace {

struct split_case {
    const char* name;
    std::string text;
    std::size_t parts;  ///< 0 when the text is invalid.
};

std::ostream& operator<<(std::ostream& out, const split_case& value) {
    return out << value.name;
}

const std::vector<split_case> split_cases{
    {"two parts", "a:90|b:10", 2},
    {"one part", "a:1", 1},
    {"a part with weight 0", "a:0|b:1", 2},
    {"empty", "", 0},
    {"missing weight", "a|b:1", 0},
    {"missing service", ":3", 0},
    {"negative", "a:-1|b:2", 0},
    {"duplicate service", "a:1|a:2", 0},
    {"all weights 0", "a:0|b:0", 0},
    {"trailing bar", "a:1|", 0},
    {"not a number", "a:x", 0},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(weighted_splits)

BOOST_DATA_TEST_CASE(invalid_texts_are_refused, boost::unit_test::data::make(split_cases), row) {
    const auto parts = parse_split(row.text);
    BOOST_TEST(parts.value_or(std::vector<split_part>{}).size() == row.parts);
    if (parts) {
        BOOST_TEST(format_split(*parts) == row.text);
    }
}

// Guards against shares that differ from the weights, and against requests to a part with weight 0.
BOOST_AUTO_TEST_CASE(positions_are_distributed_by_weight) {
    const auto parts = parse_split("a:70|none:0|b:30").value();
    std::map<std::string, int> counts;
    constexpr int draws = 1'000;
    for (int i = 0; i < draws; ++i) {
        ++counts[select_part(parts, static_cast<double>(i) / draws).service];
    }
    BOOST_TEST(counts["a"] == 700);
    BOOST_TEST(counts["b"] == 300);
    BOOST_TEST(counts["none"] == 0);
    BOOST_TEST(select_part(parts, 1.0).service == "b");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
