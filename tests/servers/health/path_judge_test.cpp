#include "servers/health/path_judge.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ostream>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(paths)

using namespace std::chrono_literals;

struct path_case {
    const char* name;
    path_outcome outcome;
    int count;
    bool new_connections;
    bool node_bad;
    bool target_bad;
};
std::ostream& operator<<(std::ostream& out, const path_case& item) {
    return out << item.name;
}
const std::vector<path_case> cases{
    {"dead path", path_outcome::unreachable, 2, true, true, false},
    {"one refused connection", path_outcome::unreachable, 1, true, false, false},
    {"one silent connection with many requests", path_outcome::connection_silent, 50, false, false, false},
    {"each connection falls silent", path_outcome::connection_silent, 2, true, true, false},
    {"one lost connection with many requests", path_outcome::connection_lost, 50, false, false, false},
    {"answers break off", path_outcome::answer_broken, 2, false, false, true},
    {"gate gives no answer", path_outcome::gate_overdue, 2, false, true, false},
    {"gate refuses", path_outcome::answered, 50, false, false, false},
};

// Guards against a target that is blamed for its path, and against one silent connection that cuts off
// a node that new connections reach.
BOOST_DATA_TEST_CASE(faults_are_attributed, boost::unit_test::data::make(cases), item) {
    const manual_time_source clock;
    path_judge judge(clock, path_options_for(detection_policy::fast));
    for (int i = 0; i < item.count; ++i) {
        judge.on_result("t", "n", item.new_connections ? 100 + i : 100, item.outcome);
    }
    BOOST_TEST((judge.node_badness("n") >= 1.0) == item.node_bad);
    BOOST_TEST((judge.target_badness("t") >= 1.0) == item.target_bad);
    BOOST_TEST(judge.node_badness("other") == 0.0);
}

// Guards against a restored path that stays out, and against memory for healthy paths.
BOOST_AUTO_TEST_CASE(evidence_fades_by_pings_and_time) {
    manual_time_source clock;
    path_judge judge(clock, path_options_for(detection_policy::fast));
    for (int i = 0; i < 100; ++i) {
        judge.on_result("t", "n", 100 + i, path_outcome::unreachable);
    }
    for (int i = 0; i < 60; ++i) {
        judge.on_ping("n");
    }
    BOOST_TEST(judge.node_badness("n") < 0.5);
    judge.on_result("t", "n", 1'000, path_outcome::unreachable);
    clock.advance(60s);
    judge.on_tick();
    BOOST_TEST(judge.suspect_nodes().empty());
    judge.on_result("t", "n", 1'001, path_outcome::answered);
    BOOST_TEST(judge.suspect_targets().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
