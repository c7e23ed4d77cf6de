#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>
#include <vector>

#include "tests/servers/claims/slot_model.h"

namespace teaselpitch {
namespace {

// Indexes into the time steps of the model.
constexpr std::uint32_t ms_50 = 1;
constexpr std::uint32_t ms_100 = 2;
constexpr std::uint32_t ms_200 = 3;
constexpr std::uint32_t ms_500 = 4;
constexpr std::uint32_t s_1 = 5;
constexpr std::uint32_t ms_1900 = 7;
constexpr std::uint32_t s_3 = 8;
constexpr std::uint32_t s_5 = 9;
constexpr std::uint32_t s_7 = 10;

// Initially node n0 holds the slot with the candidates n1 and n2. Key 0 is used with one fingerprint.
constexpr std::uint32_t key = 0;
constexpr std::uint32_t committed_once = 1;
constexpr std::uint32_t candidates_3_and_4 = 14;

// Base 3 digits, least significant first: clock rates of n0 to n4, each 0.99, 1 or 1.01.
constexpr std::uint32_t all_clocks_exact = 1 + 3 + 9 + 27 + 81;
constexpr std::uint32_t slow_n0_fast_n1 = 0 + 2 * 3 + 9 + 27 + 81;

struct trace {
    protocol_variant without_rule;
    std::uint32_t rates;
    std::vector<event> events;
};

std::ostream& operator<<(std::ostream& out, const trace& value) {
    return out << value.without_rule.name;
}

protocol_variant without_rule(const char* name, bool protocol_variant::*rule) {
    protocol_variant variant;
    variant.name = name;
    variant.*rule = false;
    return variant;
}

std::vector<event> concatenate(const std::vector<std::vector<event>>& sequences) {
    std::vector<event> all;
    for (const std::vector<event>& sequence : sequences) {
        all.insert(all.end(), sequence.begin(), sequence.end());
    }
    return all;
}

std::vector<event> takeover_by(std::uint32_t node) {
    return {{event_kind::read_log, node, 0},
            {event_kind::take_over, node, 0},
            {event_kind::commit_append, 0, committed_once},
            {event_kind::read_log, node, 0}};
}

std::vector<event> advance_time(const std::vector<std::uint32_t>& times) {
    std::vector<event> all;
    all.reserve(times.size());
    for (const std::uint32_t time : times) {
        all.push_back({event_kind::pass_time, time, 0});
    }
    return all;
}

// The first send is delayed in transit and its re-send runs on n0. Then n1 takes over and receives the first
// send.
std::vector<event> overtaken_first_send() {
    return concatenate({{{event_kind::read_log, 0, 0},
                         {event_kind::send_delayed, key, 0},
                         {event_kind::send_and_write, key, 0}},
                        takeover_by(1),
                        advance_time({s_7, ms_200}),
                        {{event_kind::read_log, 1, 0}},
                        {{event_kind::deliver_send, 0, 1},
                         {event_kind::check_permit, 0, 0},
                         {event_kind::final_check, 0, 0},
                         {event_kind::write, 0, 0}}});
}

// The renewal by n0 takes effect, its acknowledgement is lost, and n0 can no longer reach the log. The old
// candidates still promise, while the new candidate n3 takes over and runs the first send of the key.
std::vector<event> renewal_without_acknowledgement() {
    return concatenate(
        {{{event_kind::read_log, 0, 0},
          {event_kind::renew_assignment, 0, candidates_3_and_4},
          {event_kind::commit_append, 0, committed_once},
          {event_kind::toggle_log, 0, 0}},
         takeover_by(3),
         advance_time({s_3}),
         {{event_kind::exchange_promises, 0, 0}},
         advance_time({s_3}),
         {{event_kind::exchange_promises, 0, 0}},
         advance_time({s_1, ms_500}),
         {{event_kind::exchange_promises, 0, 0}, {event_kind::read_log, 3, 0}, {event_kind::send, key, 3}},
         // The refusal contains the epoch, with which the caller marks its next first send.
         {{event_kind::send_and_write, key, 3}, {event_kind::send_and_write, key, 0}}});
}

// n0 is fresh for 5 s on its slow clock, pauses for 2 s before the write, and its run takes 3 s. n1 measures
// the sum of these and the retention W on its fast clock.
std::vector<event> clocks_with_different_rates() {
    return concatenate(
        {{{event_kind::read_log, 0, 0}},
         takeover_by(1),
         advance_time({s_3, ms_1900, ms_100, ms_50}),
         {{event_kind::send, key, 0}, {event_kind::check_permit, 0, 0}, {event_kind::final_check, 0, 0}},
         advance_time({ms_1900, ms_100}),
         {{event_kind::write, 0, 0}},
         advance_time({s_3, s_7, s_7, s_5, ms_500, ms_200}),
         {{event_kind::read_log, 1, 0}, {event_kind::send_and_write, key, 1}}});
}

// A run on n0 that starts late and is long ends well after the takeover; the retention W starts at its end.
std::vector<event> long_run_after_takeover() {
    return concatenate({{{event_kind::read_log, 0, 0}},
                        takeover_by(1),
                        advance_time({s_3, ms_1900}),
                        {{event_kind::send, key, 0},
                         {event_kind::check_permit, 0, 0},
                         {event_kind::final_check, 0, 0},
                         {event_kind::write, 0, 0}},
                        advance_time({s_3, s_7, s_5, s_5, ms_1900, ms_500, ms_200, ms_100}),
                        {{event_kind::read_log, 1, 0}, {event_kind::send_and_write, key, 1}}});
}

// n1 takes over without the key that n0 ran, and hands the slot over to n2 before its first-sends window
// ends.
std::vector<event> hand_over_within_the_window() {
    return concatenate({{{event_kind::read_log, 0, 0}, {event_kind::send_and_write, key, 0}},
                        takeover_by(1),
                        advance_time({s_7, ms_200}),
                        {{event_kind::read_log, 1, 0}, {event_kind::hand_over, 1, 2}},
                        {{event_kind::read_log, 2, 0},
                         {event_kind::deliver_hand_over, 0, 0},
                         {event_kind::commit_append, 0, committed_once}},
                        {{event_kind::read_log, 2, 0}, {event_kind::send_and_write, key, 2}}});
}

// n0 runs the key and hands the slot over to n2.
std::vector<event> hand_over_after_run() {
    return {{event_kind::read_log, 0, 0},
            {event_kind::send_and_write, key, 0},
            {event_kind::hand_over, 0, 2},
            {event_kind::deliver_hand_over, 0, 0},
            {event_kind::commit_append, 0, committed_once},
            {event_kind::read_log, 2, 0},
            {event_kind::send_and_write, key, 2}};
}

// The takeover by n1 takes effect without an acknowledgement, and n4 takes over from n1. n0 cannot read the
// log; neither can n1 and n2, which promise.
std::vector<event> takeover_without_acknowledgement() {
    return concatenate(
        {{{event_kind::read_log, 0, 0},
          {event_kind::toggle_log, 0, 0},
          {event_kind::take_over, 1, 11},  // The candidates are n2 and n4.
          {event_kind::commit_append, 0, committed_once},
          {event_kind::toggle_log, 1, 0}},
         takeover_by(4),
         advance_time({s_3}),
         {{event_kind::exchange_promises, 0, 0}},
         advance_time({s_3}),
         {{event_kind::exchange_promises, 0, 0}},
         advance_time({s_1, ms_500}),
         {{event_kind::exchange_promises, 0, 0}, {event_kind::read_log, 4, 0}, {event_kind::send, key, 4}},
         {{event_kind::send_and_write, key, 4}, {event_kind::send_and_write, key, 0}}});
}

// n1 runs the first send without the initial wait, and n0 is still fresh and runs the re-send.
std::vector<event> takeover_without_wait() {
    return concatenate({{{event_kind::read_log, 0, 0}},
                        takeover_by(1),
                        {{event_kind::send, key, 1}},
                        {{event_kind::send_and_write, key, 1}, {event_kind::send_and_write, key, 0}}});
}

// n0 runs the key before the takeover; n1 receives the re-send within its first-sends window.
std::vector<event> resend_within_the_window() {
    return concatenate({{{event_kind::read_log, 0, 0}, {event_kind::send_and_write, key, 0}},
                        takeover_by(1),
                        advance_time({s_7, ms_200}),
                        {{event_kind::read_log, 1, 0}, {event_kind::send, key + 1, 1}},
                        {{event_kind::send_and_write, key, 1}}});
}

// n0 can no longer read the log but continues to run requests after n1 has taken over.
std::vector<event> stale_holder() {
    return concatenate(
        {{{event_kind::read_log, 0, 0}},
         takeover_by(1),
         advance_time({s_7, ms_200}),
         {{event_kind::read_log, 1, 0}, {event_kind::send, key, 1}, {event_kind::send_and_write, key, 1}},
         {{event_kind::send_and_write, key, 0}}});
}

// n0 claims the key, pauses for a long time, and writes without the final check after n1 has run the first
// send.
std::vector<event> pause_before_the_final_check() {
    return concatenate(
        {{{event_kind::read_log, 0, 0}, {event_kind::send_delayed, key, 0}, {event_kind::send, key, 0}},
         takeover_by(1),
         advance_time({s_7, s_7, s_7, s_7, s_3}),
         {{event_kind::read_log, 1, 0}, {event_kind::deliver_send, 0, 1}},
         {{event_kind::check_permit, 1, 0}, {event_kind::final_check, 1, 0}, {event_kind::write, 1, 0}},
         {{event_kind::final_check, 0, 0}, {event_kind::write, 0, 0}}});
}

const std::vector<trace> traces{
    {without_rule("first send without the slot's epoch", &protocol_variant::requires_epoch_of_first_sends),
     all_clocks_exact, overtaken_first_send()},
    {without_rule("renewal not announced", &protocol_variant::reports_renewals), all_clocks_exact,
     renewal_without_acknowledgement()},
    {without_rule("waits not extended for clock error", &protocol_variant::extends_waits), slow_n0_fast_n1,
     clocks_with_different_rates()},
    {without_rule("longest run not counted", &protocol_variant::includes_max_run_time), all_clocks_exact,
     long_run_after_takeover()},
    {without_rule("window not inherited", &protocol_variant::transfers_first_sends_window), all_clocks_exact,
     hand_over_within_the_window()},
    {without_rule("claims not handed over", &protocol_variant::transfers_claims), all_clocks_exact,
     hand_over_after_run()},
    {without_rule("promise while an append is unresolved", &protocol_variant::tracks_unresolved_appends),
     all_clocks_exact, takeover_without_acknowledgement()},
    {without_rule("no initial wait", &protocol_variant::waits_after_takeover), all_clocks_exact,
     takeover_without_wait()},
    {without_rule("first sends not distinguished", &protocol_variant::distinguishes_first_sends),
     all_clocks_exact, resend_within_the_window()},
    {without_rule("no freshness check", &protocol_variant::checks_freshness), all_clocks_exact,
     stale_holder()},
    {without_rule("no final check before the write", &protocol_variant::checks_before_write),
     all_clocks_exact, pause_before_the_final_check()},
};

std::string run_trace(const protocol_variant& variant, const trace& sample) {
    slot_model model(variant, sample.rates);
    for (const event& next : sample.events) {
        model.run(next);
    }
    return model.violation();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(slot_traces)

// Guards against the removal of any rule of the protocol. Without the rule the trace violates a property;
// with it, none.
BOOST_DATA_TEST_CASE(removing_any_rule_violates_a_property, boost::unit_test::data::make(traces), sample) {
    BOOST_TEST(run_trace(sample.without_rule, sample) != "");
    BOOST_TEST(run_trace({}, sample) == "");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
