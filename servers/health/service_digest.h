#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>

#include "core/clock.h"

namespace teaselpitch {

/// Summary of a target's recent requests that its gate sends to the other gates of the service.
struct target_summary {
    std::string target{};
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    double mean_log_latency = 0;       ///< Natural logarithm of milliseconds.
    double log_latency_deviation = 0;  ///< Standard deviation of the natural logarithm.
};

/// Current normal failure rate and latency of a service.
struct service_baseline {
    std::size_t targets = 0;  ///< Number of targets that contribute to the values; 0 without a baseline.
    double failure_rate = 0;  ///< Median over the targets.
    double log_latency = 0;   ///< Median of the targets' means, natural logarithm of milliseconds.
    double log_spread = 0;    ///< Robust spread of one request around log_latency.
};

struct digest_options {
    std::chrono::milliseconds summary_lifetime{5'000};  ///< Older summaries are ignored.
    std::uint64_t min_requests = 5;                     ///< Summaries of fewer requests are ignored.
    std::size_t max_targets = 4'096;                    ///< Bounds the memory against a faulty peer.
};

/// Merges the summaries of the targets of one service. The baseline uses medians, so that less than half of
/// the targets cannot shift it. Safe to use from several threads.
class service_digest {
public:
    service_digest(const time_source& clock, digest_options options);

    /// Merges the summaries from one origin. A summary is ignored when its sequence number is not above the
    /// last one of that origin for the target.
    void on_summaries(std::string_view origin, std::uint64_t sequence,
                      std::span<const target_summary> summaries);
    /// Removes expired summaries.
    void on_tick();

    /// Returns the baseline of all targets except the named one.
    [[nodiscard]] service_baseline baseline_excluding(std::string_view target) const;
    /// Returns the number of targets with a usable summary.
    [[nodiscard]] std::size_t usable_targets() const;

private:
    struct entry {
        target_summary summary{};
        std::string origin{};
        std::uint64_t sequence = 0;
        steady_time received_at{};
    };

    [[nodiscard]] bool is_usable(const entry& candidate) const;

    const time_source& clock_;
    const digest_options options_;
    mutable std::mutex mutex_;
    std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace teaselpitch
