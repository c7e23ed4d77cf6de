#pragma once

#include <chrono>
#include <cstdint>

namespace teaselpitch {

/// Expected work of a request, from the work estimator.
struct expected_work {
    double request_ms = 0;       ///< Mean work of requests like this one.
    double service_mean_ms = 0;  ///< Mean work of all requests of the service.
};

/// What a node knows about the load of a target.
struct reported_load {
    std::uint32_t slots = 1;
    double requests = 0;  ///< Running and queued requests: at the last report, with own changes since.
    double own_since_report =
        0;  ///< Own requests sent since the report minus those that ended; may be negative.
    double expected_wait_ms = 0;      ///< Until a slot is free, at the last report; 0 while one was.
    double speed = 1;                 ///< Of the target; 1 when unknown.
    bool reported = false;            ///< False without any report.
    std::chrono::nanoseconds age{0};  ///< Of the report.
};

/// Estimates when a target would complete a request, from its last load report.
///
/// The load is expressed as excess requests per slot: negative while slots are free, and the expected wait in
/// units of the mean work while none is. Reports arrive only with answers, so a node of a large fleet hears
/// of a target every few seconds. An older report therefore counts less, and the mean of the target's zone
/// more; and the wait rises gradually with the load instead of at the last slot.
class completion_estimate {
public:
    explicit completion_estimate(const expected_work& work);

    /// Excess requests per slot at the time of the last report.
    [[nodiscard]] double reported_excess(const reported_load& load) const;
    /// Weight of a report within the mean of a zone.
    [[nodiscard]] static double zone_weight(const reported_load& load);
    /// Expected time until a slot is free. `zone_excess` is the weighted mean excess of the target's zone.
    [[nodiscard]] double wait_ms(const reported_load& load, double zone_excess) const;
    /// Expected time until the request is complete; `transfer_ms` is the time on the way.
    [[nodiscard]] double completion_ms(const reported_load& load, double zone_excess,
                                       double transfer_ms) const;
    /// Difference between two targets that may be due to outdated reports alone.
    [[nodiscard]] double noise_ms(const reported_load& load) const;

private:
    expected_work work_;
};

}  // namespace teaselpitch
