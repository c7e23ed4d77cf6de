#include "servers/health/crash_quarantine.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <ostream>
#include <string>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(quarantine)

using namespace std::chrono_literals;

struct second_crash {
    const char* name;
    target_identity target;
    std::chrono::seconds later;
    int successes;
    crash_verdict expected;
};
std::ostream& operator<<(std::ostream& out, const second_crash& item) {
    return out << item.name;
}
const std::vector<second_crash> seconds{
    {"another target", {"b", 1}, 59s, 0, crash_verdict::quarantine},
    {"another incarnation", {"a", 2}, 1s, 0, crash_verdict::quarantine},
    {"the same crash told twice", {"a", 1}, 1s, 0, crash_verdict::suspected},
    {"too late", {"b", 1}, 61s, 0, crash_verdict::suspected},
    {"succeeds often", {"b", 1}, 1s, 6, crash_verdict::harmless},
    {"succeeded a few times", {"b", 1}, 1s, 5, crash_verdict::quarantine},
};

// Guards against a crashing request that goes on, and against a common request that is blocked because
// it was in flight when others crashed.
BOOST_DATA_TEST_CASE(second_crash_decides, boost::unit_test::data::make(seconds), item) {
    manual_time_source clock;
    crash_quarantine subject(clock, {});
    for (int i = 0; i < item.successes; ++i) {
        subject.on_success(42);
    }
    BOOST_TEST((subject.on_crash({.fingerprint = 42, .target = {"a", 1}}) == crash_verdict::suspected));
    BOOST_TEST(subject.is_suspect(42));
    clock.advance(item.later);
    subject.on_tick();
    BOOST_TEST((subject.on_crash({.fingerprint = 42, .target = item.target}) == item.expected));
    BOOST_TEST(subject.is_quarantined(42) == (item.expected == crash_verdict::quarantine));
    clock.advance(301s);
    BOOST_TEST(!subject.is_quarantined(42));
    subject.on_tick();
    BOOST_TEST(subject.size() == 0U);
}

// Guards against a common request that is blocked because it was retried together with the cause, in
// either order of the reports.
BOOST_DATA_TEST_CASE(companions_that_succeed_stay_free, boost::unit_test::data::make({0, 1}), cause_first) {
    const manual_time_source clock;
    crash_quarantine subject(clock, {});
    subject.on_success(2);
    for (const char* target : {"a", "b"}) {
        const std::uint64_t first = cause_first != 0 ? 1 : 2;
        subject.on_crash({.fingerprint = first, .target = {target, 1}});
        subject.on_crash({.fingerprint = 3 - first, .target = {target, 1}});
    }
    BOOST_TEST(subject.is_quarantined(1));
    BOOST_TEST(!subject.is_quarantined(2));
}

// Guards against a quarantine that nodes prolong by telling each other, and against a lost one.
BOOST_AUTO_TEST_CASE(facts_of_other_nodes_count) {
    manual_time_source clock;
    crash_quarantine subject(clock, {});
    subject.on_quarantine({.fingerprint = 1, .remaining = 24h});
    subject.on_quarantine({.fingerprint = 2, .remaining = 10s});
    subject.on_quarantine({.fingerprint = 3, .remaining = 0s});
    BOOST_TEST_REQUIRE(subject.quarantines().size() == 2U);
    BOOST_TEST((subject.quarantines()[0].remaining == 300s));
    clock.advance(11s);
    BOOST_TEST(!subject.is_quarantined(2));
    subject.on_crash({.fingerprint = 4, .target = {"a", 1}}, 59s);
    clock.advance(2s);
    BOOST_TEST((subject.on_crash({.fingerprint = 4, .target = {"b", 1}}) == crash_verdict::suspected));
}

// Guards against unbounded memory and a quarantine that a flood of other crashes pushes out.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
    const manual_time_source clock;
    crash_quarantine subject(clock, {.most_fingerprints = 100});
    subject.on_crash({.fingerprint = 1, .target = {"a", 1}});
    subject.on_crash({.fingerprint = 1, .target = {"b", 1}});
    for (std::uint64_t i = 2; i < 10'000; ++i) {
        subject.on_crash({.fingerprint = i, .target = {"a", 1}});
    }
    BOOST_TEST(subject.size() == 100U);
    BOOST_TEST(subject.is_quarantined(1));
}

// Guards against two different requests with one fingerprint.
BOOST_AUTO_TEST_CASE(parts_do_not_run_together) {
    const std::string body(fingerprint_body_bytes + 1, 'x');
    const auto bytes = std::as_bytes(std::span(body));
    const fingerprint_input base{
        .service = "s", .method = "GET", .path = "/a", .account = "b", .body = bytes};
    fingerprint_input moved = base;
    moved.path = "/ab";
    moved.account = "";
    BOOST_TEST(fingerprint_of(base) != fingerprint_of(moved));
    fingerprint_input longer = base;
    longer.body = bytes.first(fingerprint_body_bytes);
    BOOST_TEST(fingerprint_of(base) == fingerprint_of(longer));
    longer.body = bytes.first(fingerprint_body_bytes - 1);
    BOOST_TEST(fingerprint_of(base) != fingerprint_of(longer));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
