#include "core/event_log.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <string>
#include <tuple>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(event_log)

const std::vector<std::tuple<std::string, std::string>> escaping_cases{
    {"plain", "event=test value=plain"},
    {"", "event=test value=\"\""},
    {"two words", "event=test value=\"two words\""},
    {"line\nbreak", "event=test value=\"line\\nbreak\""},
    {"a=\"b\"", "event=test value=\"a=\\\"b\\\"\""},
    {std::string("\x01", 1), "event=test value=\"\\x01\""},
};

// Guards against a value that ends the line or injects another key=value pair.
BOOST_DATA_TEST_CASE(values_are_quoted_and_escaped, boost::unit_test::data::make(escaping_cases), value,
                     line) {
    BOOST_TEST(format_event("test", {{"value", std::string_view(value)}}) == line);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
