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

struct transition_case {
    const char* name;
    std::vector<input> inputs;
    target_state state;
    double share;
    bool in_service;
};
std::ostream& operator<<(std::ostream& out, const transition_case& item) {
    return out << item.name;
}

using enum input;
const std::vector<transition_case> transition_cases{
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
    {"readmitting a healthy target has no effect", {warm, readmit}, target_state::healthy, 1.0, true},
    {"leaving", {warm, leave}, target_state::leaving, 0.0, false},
    {"leaving is final", {warm, eject, leave, wait, readmit, eject}, target_state::leaving, 0.0, false},
};

void apply(target_state_machine& machine, manual_time_source& clock, input next) {
    switch (next) {
        case eject:
            return machine.eject();
        case readmit:
            return machine.readmit();
        case leave:
            return machine.leave();
        case warm:
        case wait:
        case pass:
            clock.advance(10s);
            return machine.on_tick(true);
    }
}

// Guards against a missing transition and against a wrong share after a transition.
BOOST_DATA_TEST_CASE(inputs_lead_to_expected_state, boost::unit_test::data::make(transition_cases), item) {
    manual_time_source clock;
    target_state_machine machine(clock, {}, clock.now());
    for (const input next : item.inputs) {
        apply(machine, clock, next);
    }
    BOOST_TEST((machine.state() == item.state), to_string(machine.state()));
    BOOST_TEST(machine.share() == item.share);
    BOOST_TEST(machine.in_service() == item.in_service);
}

// Guards against a flapping target that always returns after the same short wait, and against an old fault
// that lengthens the wait forever.
BOOST_AUTO_TEST_CASE(wait_doubles_on_relapse_and_halves_with_health) {
    manual_time_source clock;
    target_state_machine machine(clock, {}, clock.now() - 1h);
    machine.on_tick(true);
    for (const std::chrono::seconds expected : {1s, 2s, 4s, 8s, 16s, 32s, 64s, 128s, 256s, 300s, 300s}) {
        machine.eject();
        BOOST_TEST((machine.wait() == expected), machine.wait().count());
        clock.advance(expected - 1ms);
        machine.on_tick(true);
        BOOST_TEST((machine.state() == target_state::ejected));
        clock.advance(1ms);
        machine.on_tick(true);
        BOOST_TEST((machine.state() == target_state::trial));
    }
    for (int i = 0; i < 4; ++i) {
        clock.advance(2s);
        machine.on_tick(true);
    }
    clock.advance(2min);
    machine.eject();
    BOOST_TEST((machine.wait() == 75s), machine.wait().count());
}

// Guards against trial traffic that increases while the target still shows the fault.
BOOST_AUTO_TEST_CASE(trial_share_does_not_rise_while_unhealthy) {
    manual_time_source clock;
    target_state_machine machine(clock, {}, clock.now() - 1h);
    machine.eject();
    clock.advance(1s);
    machine.on_tick(true);
    clock.advance(1min);
    machine.on_tick(false);
    BOOST_TEST(machine.share() == 0.01);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
