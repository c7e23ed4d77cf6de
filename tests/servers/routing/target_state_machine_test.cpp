#include "servers/routing/target_state_machine.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ostream>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(target_states)

using namespace std::chrono_literals;

enum class input : std::uint8_t { warm, eject, readmit, leave, wait, pass };

struct path_case {
    const char* name;
    std::vector<input> inputs;
    target_state state;
    double share;
    bool in_service;
};
std::ostream& operator<<(std::ostream& out, const path_case& item) {
    return out << item.name;
}

using enum input;
const std::vector<path_case> paths{
    {"new", {}, target_state::warming, 1.0, false},
    {"warm", {warm}, target_state::healthy, 1.0, true},
    {"ejected while warming", {eject}, target_state::ejected, 0.0, false},
    {"ejected", {warm, eject}, target_state::ejected, 0.0, false},
    {"first step", {warm, eject, wait}, target_state::trial, 0.01, false},
    {"second step", {warm, eject, wait, pass}, target_state::trial, 0.05, false},
    {"third step", {warm, eject, wait, pass, pass}, target_state::trial, 0.25, false},
    {"last step", {warm, eject, wait, pass, pass, pass}, target_state::trial, 1.0, true},
    {"trial over", {warm, eject, wait, pass, pass, pass, pass}, target_state::healthy, 1.0, true},
    {"relapse", {warm, eject, wait, pass, eject}, target_state::ejected, 0.0, false},
    {"readmitted", {warm, eject, readmit}, target_state::trial, 1.0, true},
    {"readmitted from trial", {warm, eject, wait, readmit}, target_state::trial, 1.0, true},
    {"readmit a healthy one", {warm, readmit}, target_state::healthy, 1.0, true},
    {"leaving", {warm, leave}, target_state::leaving, 0.0, false},
    {"leaving is final", {warm, eject, leave, wait, readmit, eject}, target_state::leaving, 0.0, false},
};

void apply(target_state_machine& subject, manual_time_source& clock, input next) {
    switch (next) {
        case eject:
            return subject.eject();
        case readmit:
            return subject.readmit();
        case leave:
            return subject.leave();
        case warm:
        case wait:
        case pass:
            clock.advance(10s);
            return subject.on_tick(true);
    }
}

// Guards against a transition that is missing or leads to another share.
BOOST_DATA_TEST_CASE(inputs_lead_to_state, boost::unit_test::data::make(paths), item) {
    manual_time_source clock;
    target_state_machine subject(clock, {}, clock.now());
    for (const input next : item.inputs) {
        apply(subject, clock, next);
    }
    BOOST_TEST((subject.state() == item.state), to_string(subject.state()));
    BOOST_TEST(subject.share() == item.share);
    BOOST_TEST(subject.in_service() == item.in_service);
}

// Guards against a flapping target that returns again and again after the same short wait, and against
// an old fault that is held against a target for ever.
BOOST_AUTO_TEST_CASE(wait_doubles_and_shrinks) {
    manual_time_source clock;
    target_state_machine subject(clock, {}, clock.now() - 1h);
    subject.on_tick(true);
    for (const std::chrono::seconds expected : {1s, 2s, 4s, 8s, 16s, 32s, 64s, 128s, 256s, 300s, 300s}) {
        subject.eject();
        BOOST_TEST((subject.wait() == expected), subject.wait().count());
        clock.advance(expected - 1ms);
        subject.on_tick(true);
        BOOST_TEST((subject.state() == target_state::ejected));
        clock.advance(1ms);
        subject.on_tick(true);
        BOOST_TEST((subject.state() == target_state::trial));
    }
    for (int i = 0; i < 4; ++i) {
        clock.advance(2s);
        subject.on_tick(true);
    }
    clock.advance(2min);
    subject.eject();
    BOOST_TEST((subject.wait() == 75s), subject.wait().count());
}

// Guards against trial traffic that grows while the target shows signs of its fault.
BOOST_AUTO_TEST_CASE(trial_waits_for_good_health) {
    manual_time_source clock;
    target_state_machine subject(clock, {}, clock.now() - 1h);
    subject.eject();
    clock.advance(1s);
    subject.on_tick(true);
    clock.advance(1min);
    subject.on_tick(false);
    BOOST_TEST(subject.share() == 0.01);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
