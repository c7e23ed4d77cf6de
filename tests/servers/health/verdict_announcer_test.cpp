#include "servers/health/verdict_announcer.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(announcing)

using namespace std::chrono_literals;

// Guards against a node that sends work to a target long after its gate asked for ejection, and against
// an announcement with each answer.
BOOST_AUTO_TEST_CASE(recent_users_are_told_once) {
    manual_time_source clock;
    verdict_announcer subject(clock, {.most_nodes = 2});
    subject.on_request("old");
    clock.advance(1s);
    subject.on_request("a");
    subject.on_request("b");
    BOOST_TEST(subject.on_badness(0.99).empty());
    const std::vector<std::string> both{"a", "b"};
    BOOST_TEST(subject.on_badness(1.2) == both, boost::test_tools::per_element());
    BOOST_TEST(subject.on_badness(1.5).empty());
    clock.advance(9s);
    subject.on_request("b");
    clock.advance(2s);
    const std::vector<std::string> recent{"b"};
    BOOST_TEST(subject.on_badness(0.2) == recent, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
