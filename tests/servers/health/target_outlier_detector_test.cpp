#include "servers/health/target_outlier_detector.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cmath>
#include <ostream>
#include <random>
#include <vector>

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(outlier_detection)

using namespace std::chrono_literals;

const service_baseline normal{
    .targets = 8, .failure_rate = 0.02, .log_latency = std::log(10.0), .log_spread = 0.6};

struct detector_fixture {
    manual_time_source clock;
    target_outlier_detector detector;
    service_baseline baseline = normal;  // The other gates answer a suspicious summary every 100 ms.
    std::mt19937_64 random{11};
    std::uint64_t next_request = 1;

    explicit detector_fixture(detection_policy policy, std::uint32_t slots = 7)
        : detector(clock, "t", outlier_detection_options_for(policy, slots)) {
        set_baseline(normal);
    }
    void set_baseline(const service_baseline& next_baseline) {
        baseline = next_baseline;
        detector.on_baseline(baseline);
    }
    void tick() {
        clock.advance(10ms);
        if (detector.is_suspicious() && clock.now().time_since_epoch() % 100ms == 0ms) {
            detector.on_baseline(baseline);
        }
        detector.on_tick();
    }
    // Runs requests one after another at 100 per second, each with a log-normal latency around the given one.
    void run_requests(int requests, double failure_probability, std::chrono::milliseconds latency) {
        std::lognormal_distribution<double> spread(0.0, 0.5);
        std::bernoulli_distribution fails(failure_probability);
        for (int i = 0; i < requests; ++i) {
            detector.on_request_start(next_request);
            const auto latency_sample =
                std::chrono::duration_cast<std::chrono::nanoseconds>(latency * spread(random));
            tick();
            detector.on_request_end(next_request++,
                                    fails(random) ? request_outcome::failure : request_outcome::success,
                                    latency_sample);
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
    double failure_probability;
    std::chrono::milliseconds latency;
    int max_requests;  // Detection goal at 100 requests/s: 0.5 s for fast and 3 s for cautious.
};
std::ostream& operator<<(std::ostream& out, const fault_case& item) {
    return out << item.name;
}
const std::vector<fault_case> fault_cases{
    {"fast, ten times slower", detection_policy::fast, 0.0, 100ms, 50},
    {"fast, half fail", detection_policy::fast, 0.5, 10ms, 50},
    {"fast, all fail", detection_policy::fast, 1.0, 1ms, 50},
    {"balanced, half fail", detection_policy::balanced, 0.5, 10ms, 150},
    {"cautious, ten times slower", detection_policy::cautious, 0.0, 100ms, 300},
    {"cautious, half fail", detection_policy::cautious, 0.5, 10ms, 300},
};

// Guards against a target with a gray failure that is detected later than the goals allow, and against a
// verdict that persists after the target recovered.
BOOST_DATA_TEST_CASE(faults_and_recovery_are_detected, boost::unit_test::data::make(fault_cases), fault) {
    detector_fixture f(fault.policy);
    f.run_requests(200, 0.0, 10ms);
    BOOST_TEST(f.detector.outlier_score() < 0.3);
    f.run_requests(fault.max_requests, fault.failure_probability, fault.latency);
    BOOST_TEST(f.detector.outlier_score() >= 1.0);
    f.run_requests(300, 0.0, 10ms);
    BOOST_TEST(f.detector.outlier_score() < 0.3);
}

struct normal_case {
    const char* name;
    service_baseline baseline;
    double failure_probability;
    std::chrono::milliseconds latency;
};
std::ostream& operator<<(std::ostream& out, const normal_case& item) {
    return out << item.name;
}
const std::vector<normal_case> normal_cases{
    {"scattered errors", normal, 0.02, 10ms},
    {"slightly slower", normal, 0.0, 15ms},
    {"all targets are slow",
     {.targets = 8, .failure_rate = 0.02, .log_latency = std::log(100.0), .log_spread = 0.6},
     0.02,
     100ms},
    {"all targets fail",
     {.targets = 8, .failure_rate = 0.5, .log_latency = std::log(10.0), .log_spread = 0.6},
     0.5,
     10ms},
};

// Guards against the ejection of a target that is not worse than the others.
BOOST_DATA_TEST_CASE(target_like_the_others_is_healthy, boost::unit_test::data::make(normal_cases), item) {
    detector_fixture f(detection_policy::fast);
    f.set_baseline(item.baseline);
    for (int second = 0; second < 100; ++second) {
        f.run_requests(100, item.failure_probability, item.latency);
        f.set_baseline(item.baseline);
        BOOST_TEST_REQUIRE(f.detector.outlier_score() < 1.0);
    }
}

// Guards against evidence that persists after a new baseline shows that all targets are slow.
BOOST_AUTO_TEST_CASE(new_baseline_clears_the_evidence) {
    detector_fixture f(detection_policy::fast);
    f.run_requests(100, 0.0, 10ms);
    f.run_requests(50, 0.0, 100ms);
    BOOST_TEST(f.detector.outlier_score() >= 1.0);
    f.set_baseline(normal_cases[2].baseline);
    BOOST_TEST(f.detector.outlier_score() < 0.3);
}

struct hang_case {
    detection_policy policy;
    std::uint32_t slots;
    std::chrono::milliseconds max_delay;
};
std::ostream& operator<<(std::ostream& out, const hang_case& item) {
    return out << to_string(item.policy);
}
const std::vector<hang_case> hang_cases{{detection_policy::fast, 7, 500ms},
                                        {detection_policy::cautious, 4, 3s}};

// Guards against a hanging target that is detected only after the deadlines of its requests.
BOOST_DATA_TEST_CASE(hanging_target_is_detected_without_any_answer, boost::unit_test::data::make(hang_cases),
                     item) {
    detector_fixture f(item.policy, item.slots);
    f.run_requests(100, 0.0, 10ms);
    for (std::uint32_t i = 0; i < item.slots; ++i) {
        f.detector.on_request_start(f.next_request++);
        f.wait(10ms);
    }
    f.wait(item.max_delay);
    BOOST_TEST(f.detector.outlier_score() >= 1.0);
    BOOST_TEST(f.detector.explain().overdue == item.slots);
}

// Guards against an ejection during a general slow-down whose reports are late, and against a fault that is
// never reported because the other gates are unreachable.
BOOST_AUTO_TEST_CASE(verdict_waits_a_limited_time_for_the_others) {
    manual_time_source clock;
    const outlier_detection_options options = outlier_detection_options_for(detection_policy::fast, 7);
    target_outlier_detector detector(clock, "t", options);
    detector.on_baseline(normal);
    for (std::uint64_t request = 1; request <= 20; ++request) {
        detector.on_request_start(request);
        detector.on_request_end(request, request_outcome::failure, 1ms);
    }
    clock.advance(options.confirmation_time);
    detector.on_tick();
    BOOST_TEST(detector.outlier_score() < 1.0);
    BOOST_TEST(detector.explain().confirming);
    clock.advance(options.unanswered_confirmation_time - options.confirmation_time);
    detector.on_tick();
    BOOST_TEST(detector.outlier_score() >= 1.0);
}

// Guards against an ejection because of a single long request while others succeed.
BOOST_AUTO_TEST_CASE(single_long_request_is_no_evidence) {
    detector_fixture f(detection_policy::fast);
    f.run_requests(100, 0.0, 10ms);
    f.detector.on_request_start(1'000'000);
    f.run_requests(1'000, 0.0, 10ms);
    BOOST_TEST(f.detector.outlier_score() < 0.5);
}

// Guards against a service with a single target whose latency is never assessed.
BOOST_AUTO_TEST_CASE(single_target_is_compared_with_its_own_history) {
    detector_fixture f(detection_policy::fast);
    f.set_baseline({});
    f.run_requests(500, 0.02, 10ms);
    BOOST_TEST(f.detector.outlier_score() < 0.3);
    BOOST_TEST(f.detector.explain().uses_own_history);
    f.run_requests(50, 0.0, 100ms);
    BOOST_TEST(f.detector.outlier_score() >= 1.0);
}

// Guards against evidence that stays against an ejected target forever, because it receives no requests that
// could refute it.
BOOST_AUTO_TEST_CASE(evidence_decays_without_requests) {
    detector_fixture f(detection_policy::fast);
    f.run_requests(100, 0.0, 10ms);
    f.run_requests(100, 1.0, 10ms);
    BOOST_TEST(f.detector.outlier_score() >= 1.0);
    f.wait(20s);
    BOOST_TEST(f.detector.outlier_score() < 1.0);
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
const std::vector<crash_case> crash_cases{
    {"one request crashes repeatedly", std::vector<std::uint64_t>(30, 7), 0, false},
    {"every request crashes", {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}, 0, true},
    {"other requests fail as well", std::vector<std::uint64_t>(30, 7), 12, true},
};

// Guards against a target that is ejected because of a request that crashes every target, and against a
// faulty target whose crashes all count against the requests.
BOOST_DATA_TEST_CASE(crashes_count_only_with_other_failures_or_fingerprints,
                     boost::unit_test::data::make(crash_cases), item) {
    detector_fixture f(detection_policy::fast);
    f.run_requests(100, 0.0, 10ms);
    for (const std::uint64_t fingerprint : item.fingerprints) {
        f.detector.on_request_start(f.next_request);
        f.clock.advance(201ms);
        f.detector.on_request_end(f.next_request++, request_outcome::crash, 5ms, fingerprint);
    }
    f.run_requests(item.plain_failures, 1.0, 10ms);
    f.wait(200ms);
    BOOST_TEST((f.detector.outlier_score() >= 1.0) == item.ejects);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
