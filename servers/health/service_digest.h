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

/// Recent work of one target, as its gate sends it to the other gates of the service.
struct target_summary {
    std::string target{};
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    double mean_log_latency = 0;       ///< Natural logarithm of milliseconds.
    double log_latency_deviation = 0;  ///< Standard deviation of the logarithm.
};

/// What is normal for a service at the moment.
struct service_baseline {
    std::size_t targets = 0;  ///< Targets that the values come from; 0 when there are none.
    double failure_rate = 0;  ///< Median over the targets.
    double log_latency = 0;   ///< Median of the targets' means, natural logarithm of milliseconds.
    double log_spread = 0;    ///< Robust spread of one request around log_latency.
};

struct digest_options {
    std::chrono::milliseconds lifetime{5'000};  ///< Older summaries do not count.
    std::uint64_t least_requests = 5;           ///< Summaries of fewer requests do not count.
    std::size_t most_targets = 4'096;           ///< Bounds the memory against a faulty peer.
};

/// Merges the summaries of the targets of one service. Medians keep less than half of the targets from
/// moving the baseline. Safe to use from several threads.
class service_digest {
public:
    service_digest(const time_source& clock, digest_options options);

    /// Takes summaries of one origin; one with a sequence that is not above the last one is ignored.
    void on_summaries(std::string_view origin, std::uint64_t sequence,
                      std::span<const target_summary> summaries);
    /// Removes summaries that no longer count.
    void on_tick();

    /// The baseline from every target but the named one.
    [[nodiscard]] service_baseline baseline_without(std::string_view target) const;
    /// Number of targets with a summary that counts.
    [[nodiscard]] std::size_t fresh_targets() const;

private:
    struct entry {
        target_summary summary{};
        std::string origin{};
        std::uint64_t sequence = 0;
        steady_time received_at{};
    };

    [[nodiscard]] bool counts(const entry& candidate) const;

    const time_source& clock_;
    const digest_options options_;
    mutable std::mutex mutex_;
    std::map<std::string, entry, std::less<>> entries_;
};

}  // namespace teaselpitch
