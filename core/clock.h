#pragma once

#include <atomic>
#include <chrono>

namespace teaselpitch {

using steady_time = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;

/// Source of monotonic and wall-clock time. Deadlines, leases and ages use only the monotonic time of one
/// process.
class time_source {
public:
    virtual ~time_source() = default;

    /// Monotonic time; not comparable between processes.
    [[nodiscard]] virtual steady_time now() const = 0;

    /// Wall-clock time, for logs and reports only.
    [[nodiscard]] virtual wall_time wall_now() const = 0;

protected:
    time_source() = default;
    time_source(const time_source&) = default;
    time_source& operator=(const time_source&) = default;
};

/// The clocks of the operating system. The monotonic time includes the time for which the machine was
/// suspended, as deadlines and leases go on at the other machines. It must not be compared with times of
/// std::chrono::steady_clock.
class system_time_source final : public time_source {
public:
    [[nodiscard]] steady_time now() const override;
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// Clock that advances only by advance(), for deterministic tests and benchmarks.
class manual_time_source final : public time_source {
public:
    [[nodiscard]] steady_time now() const override { return steady_time{offset_.load()}; }
    [[nodiscard]] wall_time wall_now() const override {
        return wall_time{std::chrono::duration_cast<wall_time::duration>(offset_.load())};
    }

    void advance(std::chrono::nanoseconds step) { offset_.store(offset_.load() + step); }

private:
    // Starts above zero so that subtracting a timeout does not reach a negative time point.
    std::atomic<std::chrono::nanoseconds> offset_{std::chrono::hours{1}};
};

}  // namespace teaselpitch
