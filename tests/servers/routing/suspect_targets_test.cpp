// A target that fails requests immediately appears idle, so that every ingress would send it more requests.
#include <algorithm>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <set>
#include <string>
#include <vector>

#include "servers/routing/target_chooser.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

struct suspect_case {
    const char* name;
    std::vector<std::string> suspects;
    std::chrono::milliseconds age;  ///< Time since the load reports of the suspects.
    std::uint32_t busy;             ///< Slots in use at each other target.
    std::set<std::string> chosen;
    bool suspect;  ///< The choice reports that only suspects are left.
};

std::ostream& operator<<(std::ostream& out, const suspect_case& value) {
    return out << value.name;
}

const std::vector<suspect_case> suspect_cases{
    {"no report", {}, 0ms, 0, {"a", "b", "c"}, false},
    {"one suspect is excluded", {"b"}, 0ms, 0, {"a", "c"}, false},
    {"two suspects are excluded", {"a", "b"}, 0ms, 0, {"c"}, false},
    {"all are suspect", {"a", "b", "c"}, 0ms, 0, {"a", "b", "c"}, true},
    {"suspicion lasts longer while the others have spare capacity", {"b"}, 1'900ms, 0, {"a", "c"}, false},
    {"suspicion expires", {"b"}, 2'100ms, 0, {"a", "b", "c"}, false},
    {"one suspect is excluded although the others are full", {"b"}, 600ms, 4, {"a", "c"}, false},
    {"suspicion expires sooner when the others are full", {"b"}, 800ms, 4, {"a", "b", "c"}, false},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(suspect_targets)

// Guards against requests to a failing target while others work, and against a refusal when only suspect
// targets are left.
BOOST_DATA_TEST_CASE(suspects_are_chosen_last, boost::unit_test::data::make(suspect_cases), row) {
    manual_time_source clock;
    target_chooser chooser(clock, {.local_zone = "z", .warm_up = 0ms}, 7);
    std::vector<target_candidate> targets;
    for (const char* name : {"a", "b", "c"}) {
        targets.push_back({.identity = {name, 1},
                           .node = std::string("n-") + name,
                           .zone = "z",
                           .slots = 4,
                           .ready_since = clock.now() - 1h});
    }
    chooser.update(targets, {});
    for (const std::string& name : row.suspects) {
        load_report report;
        report.target = name;
        report.slots = 4;
        report.suspect = true;
        chooser.on_load_report(report);
    }
    clock.advance(row.age);
    for (const char* name : {"a", "b", "c"}) {
        const bool suspect = std::find(row.suspects.begin(), row.suspects.end(), name) != row.suspects.end();
        if (!suspect && row.busy > 0) {
            load_report report;
            report.target = name;
            report.slots = 4;
            report.running = row.busy;
            chooser.on_load_report(report);
        }
    }
    std::set<std::string> chosen;
    for (int i = 0; i < 200; ++i) {
        const target_choice result = chooser.choose({});
        BOOST_REQUIRE(result.target.has_value());
        BOOST_TEST(result.suspect == row.suspect);
        chosen.insert(result.target->target().name);
    }
    BOOST_TEST(chosen == row.chosen, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
