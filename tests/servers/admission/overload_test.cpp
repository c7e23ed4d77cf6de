#include <algorithm>
#include <array>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>
#include <map>
#include <queue>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "servers/admission/admission_queue.h"

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;
using std::chrono::microseconds;

constexpr std::uint32_t slots = 7;
constexpr std::array<microseconds, 7> service_times{8ms, 10ms, 13ms, 17ms, 22ms, 28ms, 42ms};  // Mean 20 ms.
constexpr microseconds arrival_interval = 20'000us / slots / 2;  // Twice the capacity.
constexpr int arrivals = 20'000;

struct goodput {
    std::size_t in_time = 0;
    std::map<std::string, std::size_t> by_account;
};

/// Simulates a target at twice its capacity; half of all requests come from one of five accounts.
goodput simulate_overload(microseconds timeout) {
    manual_time_source clock;
    admission_queue queue(
        clock, {.slots = slots, .max_queued = 64, .max_wait = 200ms, .initial_service_time = 20ms});
    std::mt19937_64 random(7);
    std::vector<std::pair<steady_time, std::string>> jobs;
    using end_event = std::pair<steady_time, ticket_id>;
    std::priority_queue<end_event, std::vector<end_event>, std::greater<>> ends;
    const auto start = [&](ticket_id ticket) {
        ends.emplace(clock.now() + service_times[random() % service_times.size()], ticket);
    };
    goodput result;
    for (int i = 0; i < arrivals; ++i) {
        const steady_time arrival = clock.now() + arrival_interval;
        while (!ends.empty() && ends.top().first <= arrival) {
            const auto [end, ticket] = ends.top();
            ends.pop();
            clock.advance(end - clock.now());
            const bool in_time = end <= jobs[ticket].first;
            result.in_time += in_time ? 1 : 0;
            result.by_account[jobs[ticket].second] += in_time ? 1 : 0;
            for (const ticket_id next : queue.release(ticket).admitted) {
                start(next);
            }
        }
        clock.advance(arrival - clock.now());
        jobs.emplace_back(arrival + timeout,
                          i % 2 == 0 ? "a" : std::string(1, static_cast<char>('b' + i / 2 % 4)));
        const ticket_id ticket = jobs.size() - 1;
        if (queue.offer(ticket, jobs[ticket].first, jobs[ticket].second).outcome == offer_outcome::admitted) {
            start(ticket);
        }
    }
    return result;
}

constexpr int timeouts_ms[] = {60, 100, 250, 1'000};

}  // namespace

BOOST_AUTO_TEST_SUITE(overload)

// Guards against requests that wait so long that they all expire on the target. Requires a goodput of 90% of
// the capacity.
BOOST_DATA_TEST_CASE(goodput_stays_near_the_capacity, timeouts_ms, timeout) {
    const goodput result = simulate_overload(std::chrono::milliseconds(timeout));
    BOOST_TEST(static_cast<double>(result.in_time) >= 0.9 * arrivals / 2);
}

// Guards against the largest account displacing the others. Each account must get at least half of its fair
// share, a fifth of the capacity.
BOOST_DATA_TEST_CASE(small_accounts_get_their_share, timeouts_ms, timeout) {
    const goodput result = simulate_overload(std::chrono::milliseconds(timeout));
    BOOST_REQUIRE_EQUAL(result.by_account.size(), 5U);
    for (const auto& [account, count] : result.by_account) {
        BOOST_TEST(static_cast<double>(count) >= 0.5 * arrivals / 2 / 5, account);
    }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
