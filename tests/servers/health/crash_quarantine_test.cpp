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

struct second_crash_case {
    const char* name;
    target_identity target;
    std::chrono::seconds delay;
    int successes;
    crash_verdict expected;
};
std::ostream& operator<<(std::ostream& out, const second_crash_case& item) {
    return out << item.name;
}
const std::vector<second_crash_case> second_crash_cases{
    {"another target", {"b", 1}, 59s, 0, crash_verdict::quarantine},
    {"another incarnation", {"a", 2}, 1s, 0, crash_verdict::quarantine},
    {"the same crash reported twice", {"a", 1}, 1s, 0, crash_verdict::suspected},
    {"after the window", {"b", 1}, 61s, 0, crash_verdict::suspected},
    {"succeeds often", {"b", 1}, 1s, 6, crash_verdict::harmless},
    {"succeeded a few times", {"b", 1}, 1s, 5, crash_verdict::quarantine},
};

// Guards against a request that keeps crashing targets, and against a harmless request that is quarantined
// because it was in flight at the crashes of another request.
BOOST_DATA_TEST_CASE(second_crash_determines_verdict, boost::unit_test::data::make(second_crash_cases),
                     item) {
    manual_time_source clock;
    crash_quarantine subject(clock, {});
    for (int i = 0; i < item.successes; ++i) {
        subject.on_success(42);
    }
    BOOST_TEST((subject.on_crash({.fingerprint = 42, .target = {"a", 1}}) == crash_verdict::suspected));
    BOOST_TEST(subject.is_suspect(42));
    clock.advance(item.delay);
    subject.on_tick();
    BOOST_TEST((subject.on_crash({.fingerprint = 42, .target = item.target}) == item.expected));
    BOOST_TEST(subject.is_quarantined(42) == (item.expected == crash_verdict::quarantine));
    clock.advance(301s);
    BOOST_TEST(!subject.is_quarantined(42));
    subject.on_tick();
    BOOST_TEST(subject.size() == 0U);
}

// Guards against a harmless request that is quarantined because it was retried together with the cause, in
// either order of the reports.
BOOST_DATA_TEST_CASE(succeeding_fingerprints_are_not_quarantined, boost::unit_test::data::make({0, 1}),
                     cause_first) {
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

// Guards against a quarantine that nodes prolong by gossip, and against a lost quarantine.
BOOST_AUTO_TEST_CASE(facts_of_other_nodes_are_applied) {
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

// Guards against unbounded memory, and against many other crashes that evict a quarantine.
BOOST_AUTO_TEST_CASE(memory_is_bounded) {
    const manual_time_source clock;
    crash_quarantine subject(clock, {.max_fingerprints = 100});
    subject.on_crash({.fingerprint = 1, .target = {"a", 1}});
    subject.on_crash({.fingerprint = 1, .target = {"b", 1}});
    for (std::uint64_t i = 2; i < 10'000; ++i) {
        subject.on_crash({.fingerprint = i, .target = {"a", 1}});
    }
    BOOST_TEST(subject.size() == 100U);
    BOOST_TEST(subject.is_quarantined(1));
}

// Guards against two different requests with one fingerprint.
BOOST_AUTO_TEST_CASE(fingerprint_separates_its_parts) {
    const std::string body(fingerprint_body_bytes + 1, 'x');
    const auto bytes = std::as_bytes(std::span(body));
    const fingerprint_input base{
        .service = "s", .method = "GET", .path = "/a", .account = "b", .body = bytes};
    fingerprint_input shifted = base;
    shifted.path = "/ab";
    shifted.account = "";
    BOOST_TEST(compute_fingerprint(base) != compute_fingerprint(shifted));
    fingerprint_input resized = base;
    resized.body = bytes.first(fingerprint_body_bytes);
    BOOST_TEST(compute_fingerprint(base) == compute_fingerprint(resized));
    resized.body = bytes.first(fingerprint_body_bytes - 1);
    BOOST_TEST(compute_fingerprint(base) != compute_fingerprint(resized));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
