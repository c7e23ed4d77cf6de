#include "servers/health/target_judge.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <ostream>
#include <random>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(judging)

using namespace std::chrono_literals;

const service_baseline normal{
    .targets = 8, .failure_rate = 0.02, .log_latency = std::log(10.0), .log_spread = 0.6};

struct judge_fixture {
    manual_time_source clock;
    target_judge subject;
    service_baseline baseline = normal;  // The other gates answer a suspicious summary every 100 ms.
    std::mt19937_64 random{11};
    std::uint64_t next = 1;

    explicit judge_fixture(detection_policy policy, std::uint32_t slots = 7)
        : subject(clock, "t", options_for(policy, slots)) {
        set_baseline(normal);
    }
    void set_baseline(const service_baseline& next_baseline) {
        baseline = next_baseline;
        subject.on_baseline(baseline);
    }
    void tick() {
        clock.advance(10ms);
        if (subject.suspicious() && clock.now().time_since_epoch() % 100ms == 0ms) {
            subject.on_baseline(baseline);
        }
        subject.on_tick();
    }
    // One request after another, 100 a second, each with a log-normal latency around the given one.
    void work(int requests, double failing, std::chrono::milliseconds latency) {
        std::lognormal_distribution<double> spread(0.0, 0.5);
        std::bernoulli_distribution fails(failing);
        for (int i = 0; i < requests; ++i) {
            subject.on_start(next);
            const auto took = std::chrono::duration_cast<std::chrono::nanoseconds>(latency * spread(random));
            tick();
            subject.on_end(next++, fails(random) ? work_outcome::failure : work_outcome::success, took);
        }
    }
    void wait(std::chrono::milliseconds time) {
        for (; time > 0ms; time -= 10ms) {
            tick();
        }
    }
};

struct fault_case {
    const char* name;
    detection_policy policy;
    double failing;
    std::chrono::milliseconds latency;
    int within;  // Requests until the verdict, from the goal: 0.5 s fast and 3 s cautious at 100/s.
};
std::ostream& operator<<(std::ostream& out, const fault_case& item) {
    return out << item.name;
}
const std::vector<fault_case> faults{
    {"fast, ten times slower", detection_policy::fast, 0.0, 100ms, 50},
    {"fast, half fail", detection_policy::fast, 0.5, 10ms, 50},
    {"fast, all fail", detection_policy::fast, 1.0, 1ms, 50},
    {"balanced, half fail", detection_policy::balanced, 0.5, 10ms, 150},
    {"cautious, ten times slower", detection_policy::cautious, 0.0, 100ms, 300},
    {"cautious, half fail", detection_policy::cautious, 0.5, 10ms, 300},
};

// Guards against a gray target that keeps its work for longer than the goals allow, and against a
// verdict that stays after the target recovered.
BOOST_DATA_TEST_CASE(faults_are_found_and_recovery_shows, boost::unit_test::data::make(faults), fault) {
    judge_fixture f(fault.policy);
    f.work(200, 0.0, 10ms);
    BOOST_TEST(f.subject.badness() < 0.3);
    f.work(fault.within, fault.failing, fault.latency);
    BOOST_TEST(f.subject.badness() >= 1.0);
    f.work(300, 0.0, 10ms);
    BOOST_TEST(f.subject.badness() < 0.3);
}

struct quiet_case {
    const char* name;
    service_baseline baseline;
    double failing;
    std::chrono::milliseconds latency;
};
std::ostream& operator<<(std::ostream& out, const quiet_case& item) {
    return out << item.name;
}
const std::vector<quiet_case> quiet{
    {"scattered errors", normal, 0.02, 10ms},
    {"somewhat slower", normal, 0.0, 15ms},
    {"all are slow",
     {.targets = 8, .failure_rate = 0.02, .log_latency = std::log(100.0), .log_spread = 0.6},
     0.02,
     100ms},
    {"all fail",
     {.targets = 8, .failure_rate = 0.5, .log_latency = std::log(10.0), .log_spread = 0.6},
     0.5,
     10ms},
};

// Guards against the ejection of a target that is no worse than the others.
BOOST_DATA_TEST_CASE(no_worse_than_the_others_is_healthy, boost::unit_test::data::make(quiet), item) {
    judge_fixture f(detection_policy::fast);
    f.set_baseline(item.baseline);
    for (int second = 0; second < 100; ++second) {
        f.work(100, item.failing, item.latency);
        f.set_baseline(item.baseline);
        BOOST_TEST_REQUIRE(f.subject.badness() < 1.0);
    }
}

// Guards against evidence that outlives the news that all targets are slow.
BOOST_AUTO_TEST_CASE(new_baseline_clears_the_evidence) {
    judge_fixture f(detection_policy::fast);
    f.work(100, 0.0, 10ms);
    f.work(50, 0.0, 100ms);
    BOOST_TEST(f.subject.badness() >= 1.0);
    f.set_baseline(quiet[2].baseline);
    BOOST_TEST(f.subject.badness() < 0.3);
}

struct hang_case {
    detection_policy policy;
    std::uint32_t slots;
    std::chrono::milliseconds within;
};
std::ostream& operator<<(std::ostream& out, const hang_case& item) {
    return out << to_string(item.policy);
}
const std::vector<hang_case> hangs{{detection_policy::fast, 7, 500ms}, {detection_policy::cautious, 4, 3s}};

// Guards against a hanging target that is detected only when the deadlines of its requests pass.
BOOST_DATA_TEST_CASE(hanging_is_found_without_any_answer, boost::unit_test::data::make(hangs), item) {
    judge_fixture f(item.policy, item.slots);
    f.work(100, 0.0, 10ms);
    for (std::uint32_t i = 0; i < item.slots; ++i) {
        f.subject.on_start(f.next++);
        f.wait(10ms);
    }
    f.wait(item.within);
    BOOST_TEST(f.subject.badness() >= 1.0);
    BOOST_TEST(f.subject.explain().overdue == item.slots);
}

// Guards against an ejection in a general slow-down whose reports are late, and against a fault that is never
// reported because the other gates cannot be heard.
BOOST_AUTO_TEST_CASE(verdict_waits_for_the_others_but_not_for_ever) {
    manual_time_source clock;
    const judge_options options = options_for(detection_policy::fast, 7);
    target_judge subject(clock, "t", options);
    subject.on_baseline(normal);
    for (std::uint64_t request = 1; request <= 20; ++request) {
        subject.on_start(request);
        subject.on_end(request, work_outcome::failure, 1ms);
    }
    clock.advance(options.confirmation);
    subject.on_tick();
    BOOST_TEST(subject.badness() < 1.0);
    BOOST_TEST(subject.explain().confirming);
    clock.advance(options.unanswered_confirmation - options.confirmation);
    subject.on_tick();
    BOOST_TEST(subject.badness() >= 1.0);
}

// Guards against an ejection because of one long request while others succeed.
BOOST_AUTO_TEST_CASE(one_long_request_is_no_evidence) {
    judge_fixture f(detection_policy::fast);
    f.work(100, 0.0, 10ms);
    f.subject.on_start(1'000'000);
    f.work(1'000, 0.0, 10ms);
    BOOST_TEST(f.subject.badness() < 0.5);
}

// Guards against a target alone in its service that is never judged for its latency.
BOOST_AUTO_TEST_CASE(lone_target_is_compared_with_its_own_past) {
    judge_fixture f(detection_policy::fast);
    f.set_baseline({});
    f.work(500, 0.02, 10ms);
    BOOST_TEST(f.subject.badness() < 0.3);
    BOOST_TEST(f.subject.explain().own_past);
    f.work(50, 0.0, 100ms);
    BOOST_TEST(f.subject.badness() >= 1.0);
}

// Guards against evidence that never leaves an ejected target, which gets no work to clear itself.
BOOST_AUTO_TEST_CASE(evidence_decays_without_work) {
    judge_fixture f(detection_policy::fast);
    f.work(100, 0.0, 10ms);
    f.work(100, 1.0, 10ms);
    BOOST_TEST(f.subject.badness() >= 1.0);
    f.wait(20s);
    BOOST_TEST(f.subject.badness() < 1.0);
}

struct crash_case {
    const char* name;
    std::vector<std::uint64_t> fingerprints;  // One crash every second.
    int plain_failures;
    bool ejects;
};
std::ostream& operator<<(std::ostream& out, const crash_case& item) {
    return out << item.name;
}
const std::vector<crash_case> crashes{
    {"one request crashes again and again", std::vector<std::uint64_t>(30, 7), 0, false},
    {"every request crashes", {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 0, true},
    {"other work fails as well", std::vector<std::uint64_t>(30, 7), 12, true},
};

// Guards against a target that is blamed for a request that crashes each target, and against a broken
// target whose crashes are all blamed on the requests.
BOOST_DATA_TEST_CASE(crashes_count_only_with_other_failures, boost::unit_test::data::make(crashes), item) {
    judge_fixture f(detection_policy::fast);
    f.work(100, 0.0, 10ms);
    for (const std::uint64_t fingerprint : item.fingerprints) {
        f.subject.on_start(f.next);
        f.clock.advance(201ms);
        f.subject.on_end(f.next++, work_outcome::crash, 5ms, fingerprint);
    }
    f.work(item.plain_failures, 1.0, 10ms);
    f.wait(200ms);
    BOOST_TEST((f.subject.badness() >= 1.0) == item.ejects);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
