// Load: targets with a few slots whose requests of all nodes queue at the gate, a cold start, a gradual
// slowdown, and targets that fail at once.
#include "servers/routing/target_backlog.h"

#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <ostream>
#include <vector>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A backlog of a service whose requests take 100 ms.
struct fixture {
    manual_time_source clock;
    work_estimator estimator{clock};
    target_backlog backlog{clock, estimator};
    work_key key{{4, 3, 2, 1}};
    std::uint64_t next_ticket = 1;

    fixture() {
        for (int i = 0; i < 100; ++i) {
            estimator.learn(key, 100ms);
        }
    }
    std::uint64_t offer(bool admitted) {
        const std::uint64_t ticket = next_ticket++;
        backlog.on_offered(ticket, key);
        if (admitted) {
            backlog.on_admitted(ticket);
        }
        return ticket;
    }
    void run(milliseconds time, run_verdict verdict = run_verdict::success) {
        const std::uint64_t ticket = offer(true);
        clock.advance(time);
        backlog.on_run_end(ticket, verdict, time);
    }
};

struct wait_case {
    const char* name;
    int running;  ///< Of two slots.
    int queued;
    milliseconds elapsed;  ///< Since the start of the running requests.
    double low_ms;
    double high_ms;
};
std::ostream& operator<<(std::ostream& out, const wait_case& item) {
    return out << item.name;
}
const std::vector<wait_case> wait_cases{
    {"idle", 0, 0, 0ms, 0, 0},
    {"one free slot", 1, 0, 0ms, 0, 0},
    {"full", 2, 0, 0ms, 80, 120},
    {"full, the runs are nearly over", 2, 0, 80ms, 1, 50},
    {"full with one round queued", 2, 2, 0ms, 170, 230},
    {"full with half a round queued", 2, 1, 0ms, 80, 120},
};

struct speed_case {
    const char* name;
    milliseconds run_time;  ///< Instead of the expected 100 ms.
    int runs;
    double low;
    double high;
};
std::ostream& operator<<(std::ostream& out, const speed_case& item) {
    return out << item.name;
}
const std::vector<speed_case> speed_cases{
    {"normal", 100ms, 32, 0.95, 1.05},
    {"cold start, three times slower", 300ms, 16, 0.3, 0.65},
    {"slowed down by half", 150ms, 16, 0.6, 0.85},
    {"twice as fast", 50ms, 16, 1.2, 2.1},
    {"one slow run says little", 300ms, 1, 0.65, 1.0},
};

}  // namespace

BOOST_AUTO_TEST_SUITE(target_backlogs)

// Guards against a wait that counts requests instead of their remaining work, so that a target whose runs
// are nearly over looks as busy as one whose runs have just begun.
BOOST_DATA_TEST_CASE(expected_wait_follows_the_remaining_work, boost::unit_test::data::make(wait_cases),
                     item) {
    fixture f;
    for (int i = 0; i < item.running; ++i) {
        f.offer(true);
    }
    f.clock.advance(item.elapsed);
    for (int i = 0; i < item.queued; ++i) {
        f.offer(false);
    }
    const double wait_ms = f.backlog.report(2).expected_wait_ms;
    BOOST_TEST(wait_ms >= item.low_ms);
    BOOST_TEST(wait_ms <= item.high_ms);
}

// Guards against a target that is slow after its start, or becomes slower, and gets as many requests as
// before.
BOOST_DATA_TEST_CASE(speed_follows_the_observed_time, boost::unit_test::data::make(speed_cases), item) {
    fixture f;
    for (int i = 0; i < item.runs; ++i) {
        f.run(item.run_time);
    }
    const double speed = f.backlog.report(2).speed;
    BOOST_TEST(speed >= item.low);
    BOOST_TEST(speed <= item.high);
}

// Guards against one request of the heavy tail that makes its target look slow.
BOOST_AUTO_TEST_CASE(heavy_tail_does_not_look_slow) {
    fixture f;
    for (int i = 0; i < 100; ++i) {
        f.run(i % 33 == 0 ? 700ms : 82ms);
        BOOST_TEST(f.backlog.report(2).speed > 0.6);
    }
}

// Guards against a target that fails at once and so attracts requests: its slots are always free.
BOOST_AUTO_TEST_CASE(fast_failures_do_not_look_fast) {
    fixture f;
    const double mean_before = f.estimator.mean_ms(f.key);
    for (int i = 0; i < 32; ++i) {
        f.run(1ms, run_verdict::failure);
    }
    BOOST_TEST(f.estimator.mean_ms(f.key) == mean_before);
    BOOST_TEST(f.backlog.report(2).speed < 0.25);
    for (int i = 0; i < 32; ++i) {
        f.run(100ms);
    }
    BOOST_TEST(f.backlog.report(2).speed > 0.85);
}

// Guards against cancelled and refused runs that teach a short time, and requests that stay in the backlog
// after they have left.
BOOST_AUTO_TEST_CASE(neutral_runs_and_removed_requests_leave_no_trace) {
    fixture f;
    const double mean_before = f.estimator.mean_ms(f.key);
    for (int i = 0; i < 32; ++i) {
        f.run(1ms, run_verdict::neutral);
        f.backlog.on_removed(f.offer(false));
        f.backlog.on_removed(f.offer(true));
    }
    BOOST_TEST(f.estimator.mean_ms(f.key) == mean_before);
    BOOST_TEST(f.backlog.report(1).speed == 1.0);
    BOOST_TEST(f.backlog.report(1).expected_wait_ms == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
