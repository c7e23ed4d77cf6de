#include "servers/health/verdict_announcer.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(verdict_announcement)

using namespace std::chrono_literals;

// Guards against a node that sends requests to a target long after its gate's verdict triggers ejection, and
// against an announcement with each answer.
BOOST_AUTO_TEST_CASE(recent_nodes_are_notified_once) {
    manual_time_source clock;
    verdict_announcer announcer(clock, {.max_nodes = 2});
    announcer.on_request("old");
    clock.advance(1s);
    announcer.on_request("a");
    announcer.on_request("b");
    BOOST_TEST(announcer.on_outlier_score(0.99).empty());
    const std::vector<std::string> both{"a", "b"};
    BOOST_TEST(announcer.on_outlier_score(1.2) == both, boost::test_tools::per_element());
    BOOST_TEST(announcer.on_outlier_score(1.5).empty());
    clock.advance(9s);
    announcer.on_request("b");
    clock.advance(2s);
    const std::vector<std::string> recent_use_time{"b"};
    BOOST_TEST(announcer.on_outlier_score(0.2) == recent_use_time, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
