#include "core/clock.h"

#include <ctime>

namespace teaselpitch {

steady_time system_time_source::now() const {
    timespec since_boot{};
    if (::clock_gettime(CLOCK_BOOTTIME, &since_boot) != 0) {
        return std::chrono::steady_clock::now();
    }
    return steady_time{std::chrono::seconds{since_boot.tv_sec} +
                       std::chrono::nanoseconds{since_boot.tv_nsec}};
}

}  // namespace teaselpitch
