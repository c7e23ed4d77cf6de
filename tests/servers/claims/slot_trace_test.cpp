#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "tests/servers/claims/slot_model.h"

namespace teaselpitch {
namespace {

// Numbers of the steps of time in the model.
constexpr std::uint32_t ms_50 = 1;
constexpr std::uint32_t ms_100 = 2;
constexpr std::uint32_t ms_200 = 3;
constexpr std::uint32_t ms_500 = 4;
constexpr std::uint32_t s_1 = 5;
constexpr std::uint32_t ms_1900 = 7;
constexpr std::uint32_t s_3 = 8;
constexpr std::uint32_t s_5 = 9;
constexpr std::uint32_t s_7 = 10;

// Node n0 holds the slot at the start, n1 and n2 are its candidates. Key 0 is used with one fingerprint.
constexpr std::uint32_t key = 0;
constexpr std::uint32_t landed_once = 1;
constexpr std::uint32_t candidates_3_and_4 = 14;

// Digits of base 3, lowest first: the rates of n0 to n4, each 0.99, 1 or 1.01.
constexpr std::uint32_t all_exact = 1 + 3 + 9 + 27 + 81;
constexpr std::uint32_t slow_n0_fast_n1 = 0 + 2 * 3 + 9 + 27 + 81;

struct trace {
    scheme broken;
    std::uint32_t rates;
    std::vector<action> actions;
};

std::ostream& operator<<(std::ostream& out, const trace& value) {
    return out << value.broken.name;
}

scheme broken(const char* name, bool scheme::*rule) {
    scheme variant;
    variant.name = name;
    variant.*rule = false;
    return variant;
}

std::vector<action> joined(const std::vector<std::vector<action>>& parts) {
    std::vector<action> all;
    for (const std::vector<action>& part : parts) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

std::vector<action> taken_over_by(std::uint32_t node) {
    return {{act::read_log, node, 0},
            {act::take_over, node, 0},
            {act::land_append, 0, landed_once},
            {act::read_log, node, 0}};
}

std::vector<action> passed(const std::vector<std::uint32_t>& times) {
    std::vector<action> all;
    all.reserve(times.size());
    for (const std::uint32_t time : times) {
        all.push_back({act::pass_time, time, 0});
    }
    return all;
}

// The caller's first send is delayed on its way; its re-send runs at n0, n1 takes over, the first one
// arrives.
std::vector<action> overtaken_first_send() {
    return joined({{{act::read_log, 0, 0}, {act::send_late, key, 0}, {act::send_and_write, key, 0}},
                   taken_over_by(1),
                   passed({s_7, ms_200}),
                   {{act::read_log, 1, 0}},
                   {{act::deliver_send, 0, 1}, {act::check, 0, 0}, {act::look, 0, 0}, {act::write, 0, 0}}});
}

// The record of n0's renewal takes effect, its acknowledgement is lost, and n0 loses the log. The candidates
// of the old list still promise; n3 of the new list takes over and runs the first send of the key.
std::vector<action> unseen_renewal() {
    return joined({{{act::read_log, 0, 0},
                    {act::renew, 0, candidates_3_and_4},
                    {act::land_append, 0, landed_once},
                    {act::toggle_log, 0, 0}},
                   taken_over_by(3),
                   passed({s_3}),
                   {{act::promise_round, 0, 0}},
                   passed({s_3}),
                   {{act::promise_round, 0, 0}},
                   passed({s_1, ms_500}),
                   {{act::promise_round, 0, 0}, {act::read_log, 3, 0}, {act::send, key, 3}},
                   // The refusal names the epoch, with which the caller marks its next first send.
                   {{act::send_and_write, key, 3}, {act::send_and_write, key, 0}}});
}

// n0 is fresh for 5 s on its slow clock and paused for 2 s before the write, and its run takes 3 s; n1 counts
// all that and W on its fast clock.
std::vector<action> clocks_apart() {
    return joined({{{act::read_log, 0, 0}},
                   taken_over_by(1),
                   passed({s_3, ms_1900, ms_100, ms_50}),
                   {{act::send, key, 0}, {act::check, 0, 0}, {act::look, 0, 0}},
                   passed({ms_1900, ms_100}),
                   {{act::write, 0, 0}},
                   passed({s_3, s_7, s_7, s_5, ms_500, ms_200}),
                   {{act::read_log, 1, 0}, {act::send_and_write, key, 1}}});
}

// A run of n0 that starts late and takes its time ends well after the takeover; n1 counts W from there.
std::vector<action> long_last_run() {
    return joined({{{act::read_log, 0, 0}},
                   taken_over_by(1),
                   passed({s_3, ms_1900}),
                   {{act::send, key, 0}, {act::check, 0, 0}, {act::look, 0, 0}, {act::write, 0, 0}},
                   passed({s_3, s_7, s_5, s_5, ms_1900, ms_500, ms_200, ms_100}),
                   {{act::read_log, 1, 0}, {act::send_and_write, key, 1}}});
}

// n1 took over and does not know the key that n0 ran; it hands the slot to n2 before its window has passed.
std::vector<action> handed_over_in_the_window() {
    return joined(
        {{{act::read_log, 0, 0}, {act::send_and_write, key, 0}},
         taken_over_by(1),
         passed({s_7, ms_200}),
         {{act::read_log, 1, 0}, {act::hand_over, 1, 2}},
         {{act::read_log, 2, 0}, {act::deliver_hand_over, 0, 0}, {act::land_append, 0, landed_once}},
         {{act::read_log, 2, 0}, {act::send_and_write, key, 2}}});
}

// n0 hands the slot to n2 after it ran the key.
std::vector<action> handed_over() {
    return {{act::read_log, 0, 0},          {act::send_and_write, key, 0},      {act::hand_over, 0, 2},
            {act::deliver_hand_over, 0, 0}, {act::land_append, 0, landed_once}, {act::read_log, 2, 0},
            {act::send_and_write, key, 2}};
}

// n1's takeover took effect without its knowledge, and n4 took over from n1. n0 cannot read the log, but n1
// and n2, which cannot either, promise.
std::vector<action> unresolved_takeover() {
    return joined({{{act::read_log, 0, 0},
                    {act::toggle_log, 0, 0},
                    {act::take_over, 1, 11},  // Names n2 and n4 as its candidates.
                    {act::land_append, 0, landed_once},
                    {act::toggle_log, 1, 0}},
                   taken_over_by(4),
                   passed({s_3}),
                   {{act::promise_round, 0, 0}},
                   passed({s_3}),
                   {{act::promise_round, 0, 0}},
                   passed({s_1, ms_500}),
                   {{act::promise_round, 0, 0}, {act::read_log, 4, 0}, {act::send, key, 4}},
                   {{act::send_and_write, key, 4}, {act::send_and_write, key, 0}}});
}

// n1 runs the first send without a wait, and n0, still fresh, runs the re-send.
std::vector<action> no_wait() {
    return joined({{{act::read_log, 0, 0}},
                   taken_over_by(1),
                   {{act::send, key, 1}},
                   {{act::send_and_write, key, 1}, {act::send_and_write, key, 0}}});
}

// n0 ran the key before the takeover; the re-send reaches n1 in its window.
std::vector<action> resend_in_the_window() {
    return joined({{{act::read_log, 0, 0}, {act::send_and_write, key, 0}},
                   taken_over_by(1),
                   passed({s_7, ms_200}),
                   {{act::read_log, 1, 0}, {act::send, key + 1, 1}},
                   {{act::send_and_write, key, 1}}});
}

// n0 reads nothing any more and goes on, while n1 has taken over.
std::vector<action> stale_holder() {
    return joined({{{act::read_log, 0, 0}},
                   taken_over_by(1),
                   passed({s_7, ms_200}),
                   {{act::read_log, 1, 0}, {act::send, key, 1}, {act::send_and_write, key, 1}},
                   {{act::send_and_write, key, 0}}});
}

// n0 claims the key, is paused for long, and writes without another look; n1 runs the first send before.
std::vector<action> paused_before_the_look() {
    return joined({{{act::read_log, 0, 0}, {act::send_late, key, 0}, {act::send, key, 0}},
                   taken_over_by(1),
                   passed({s_7, s_7, s_7, s_7, s_3}),
                   {{act::read_log, 1, 0}, {act::deliver_send, 0, 1}},
                   {{act::check, 1, 0}, {act::look, 1, 0}, {act::write, 1, 0}},
                   {{act::look, 0, 0}, {act::write, 0, 0}}});
}

const std::vector<trace> traces{
    {broken("first send without the slot's epoch", &scheme::wants_epoch_of_first_sends), all_exact,
     overtaken_first_send()},
    {broken("renewal not announced", &scheme::announces_renewals), all_exact, unseen_renewal()},
    {broken("waits not stretched", &scheme::stretches_waits), slow_n0_fast_n1, clocks_apart()},
    {broken("longest run not counted", &scheme::counts_longest_run), all_exact, long_last_run()},
    {broken("window not inherited", &scheme::inherits_window), all_exact, handed_over_in_the_window()},
    {broken("claims not handed over", &scheme::hands_over_claims), all_exact, handed_over()},
    {broken("promise while an append is unresolved", &scheme::registers_appends), all_exact,
     unresolved_takeover()},
    {broken("no initial wait", &scheme::waits_after_takeover), all_exact, no_wait()},
    {broken("first sends not distinguished", &scheme::distinguishes_first_sends), all_exact,
     resend_in_the_window()},
    {broken("no freshness check", &scheme::checks_freshness), all_exact, stale_holder()},
    {broken("no look before the write", &scheme::looks_before_write), all_exact, paused_before_the_look()},
};

std::string violation_of(const scheme& variant, const trace& sample) {
    slot_model model(variant, sample.rates);
    for (const action& next : sample.actions) {
        model.run(next);
    }
    return model.violation();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_traces)

// Guards against the loss of one rule of the scheme: without it the trace breaks a property, with it none.
BOOST_DATA_TEST_CASE(each_rule_is_needed, boost::unit_test::data::make(traces), sample) {
    BOOST_TEST(violation_of(sample.broken, sample) != "");
    BOOST_TEST(violation_of({}, sample) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
