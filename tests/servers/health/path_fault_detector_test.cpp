#include "servers/health/path_fault_detector.h"

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
    bool node_ejected;
    bool target_ejected;
};
std::ostream& operator<<(std::ostream& out, const path_case& item) {
    return out << item.name;
}
const std::vector<path_case> path_cases{
    {"dead path", path_outcome::unreachable, 2, true, true, false},
    {"one refused connection", path_outcome::unreachable, 1, true, false, false},
    {"one unresponsive connection with many requests", path_outcome::connection_unresponsive, 50, false,
     false, false},
    {"every connection stops responding", path_outcome::connection_unresponsive, 2, true, true, false},
    {"one lost connection with many requests", path_outcome::connection_lost, 50, false, false, false},
    {"answers are aborted", path_outcome::answer_broken, 2, false, false, true},
    {"gate does not answer", path_outcome::gate_overdue, 2, false, true, false},
    {"gate refuses", path_outcome::answered, 50, false, false, false},
};

// Guards against path faults that count against a target, and against one unresponsive connection that ejects
// a node which new connections can reach.
BOOST_DATA_TEST_CASE(faults_count_against_node_or_target, boost::unit_test::data::make(path_cases), item) {
    const manual_time_source clock;
    path_fault_detector detector(clock, path_fault_options_for(detection_policy::fast));
    for (int i = 0; i < item.count; ++i) {
        detector.on_result("t", "n", item.new_connections ? 100 + i : 100, item.outcome);
    }
    BOOST_TEST((detector.node_outlier_score("n") >= 1.0) == item.node_ejected);
    BOOST_TEST((detector.target_outlier_score("t") >= 1.0) == item.target_ejected);
    BOOST_TEST(detector.node_outlier_score("other") == 0.0);
}

// Guards against a restored path that stays ejected, and against memory use for healthy paths.
BOOST_AUTO_TEST_CASE(evidence_decays_with_pings_and_time) {
    manual_time_source clock;
    path_fault_detector detector(clock, path_fault_options_for(detection_policy::fast));
    for (int i = 0; i < 100; ++i) {
        detector.on_result("t", "n", 100 + i, path_outcome::unreachable);
    }
    for (int i = 0; i < 60; ++i) {
        detector.on_ping_answer("n");
    }
    BOOST_TEST(detector.node_outlier_score("n") < 0.5);
    detector.on_result("t", "n", 1'000, path_outcome::unreachable);
    clock.advance(60s);
    detector.on_tick();
    BOOST_TEST(detector.suspect_nodes().empty());
    detector.on_result("t", "n", 1'001, path_outcome::answered);
    BOOST_TEST(detector.suspect_targets().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
