#include "core/clock.h"

#include <sys/syscall.h>
#include <unistd.h>

#include <boost/test/unit_test.hpp>
#include <ctime>

namespace {

/// Time for which the machine counts as suspended in this test program.
std::chrono::seconds suspended{0};

}  // namespace

/// Replaces the function of the C library in this program.
extern "C" int clock_gettime(clockid_t clock, timespec* result) noexcept {
    const auto status = static_cast<int>(::syscall(SYS_clock_gettime, clock, result));
    if (status == 0 && clock == CLOCK_BOOTTIME) {
        result->tv_sec += suspended.count();
    }
    return status;
}

namespace teaselpitch {

BOOST_AUTO_TEST_SUITE(system_clock)

// Guards against deadlines and leases that a process still takes for valid after its machine was suspended.
BOOST_AUTO_TEST_CASE(suspended_time_counts) {
    const system_time_source clock;
    const steady_time before = clock.now();
    suspended = std::chrono::seconds{5};
    const steady_time after = clock.now();
    suspended = std::chrono::seconds{0};
    BOOST_TEST((after - before >= std::chrono::seconds{5}));
    BOOST_TEST((after - before < std::chrono::seconds{60}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace teaselpitch
