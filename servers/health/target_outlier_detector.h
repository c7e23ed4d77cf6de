#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <optional>
#include <string>
#include <unordered_map>

#include "core/clock.h"
#include "servers/health/crash_evidence.h"
#include "servers/health/outlier_detection_options.h"
#include "servers/health/service_digest.h"

namespace teaselpitch {

/// Outcome of a request at its target as observed by the gate.
enum class request_outcome : std::uint8_t {
    success,
    failure,    ///< The target answered with a server error, aborted the answer or refused the connection.
    timeout,    ///< No answer within the deadline.
    crash,      ///< The connection was lost after the request was sent.
    cancelled,  ///< The caller cancelled the request; only the time until then is evidence.
};

/// Values behind a verdict, for the explain query.
struct outlier_assessment {
    double outlier_score = 0;     ///< 0 is healthy; 1 or more triggers ejection.
    double failure_evidence = 0;  ///< Log likelihood ratio of the test on failures.
    double latency_evidence = 0;  ///< Log likelihood ratio of the test on log latency.
    double threshold = 0;         ///< Log likelihood ratio that triggers ejection.
    std::size_t requests = 0;     ///< Requests in the window, including those in flight.
    std::size_t failures = 0;
    std::size_t overdue = 0;           ///< Requests in flight for longer than usual.
    std::size_t withheld_crashes = 0;  ///< Crashes that count against a request and not against the target.
    service_baseline baseline{};       ///< Baseline that the target is compared with.
    bool uses_own_history =
        false;                ///< The baseline is the target's own history because other targets are missing.
    bool confirming = false;  ///< The evidence is sufficient but has not persisted for the confirmation time.
};

/// Detects whether a guarded target is an outlier of its service. Two sequential tests compare its failures
/// and its log latency with the service's baseline.
///
/// Requests are ordered by start time. Each test uses the largest sum of log likelihood ratios over the most
/// recently started requests (a CUSUM test). A single request that hangs while later ones succeed is
/// therefore no evidence, and a target that hangs is detected without any answer. Each new baseline
/// recomputes the sums, so the evidence disappears when the other targets are found to be equally slow. Safe
/// to use from several threads; the lock is held for microseconds.
class target_outlier_detector {
public:
    target_outlier_detector(const time_source& clock, std::string target, outlier_detection_options options);

    /// Records that the request was sent to the target. The number is unique among the requests in flight.
    void on_request_start(std::uint64_t request);
    /// Records the end of a request. `fingerprint` is required for crashes only.
    void on_request_end(std::uint64_t request, request_outcome outcome, std::chrono::nanoseconds latency,
                        std::uint64_t fingerprint = 0);
    /// Replaces the baseline of the other targets.
    void on_baseline(const service_baseline& baseline);
    /// Updates the score with overdue requests and the decay of evidence. Call several times within the
    /// shortest required detection time.
    void on_tick();

    /// Returns the outlier score: 0 is healthy; 1 or more triggers ejection.
    [[nodiscard]] double outlier_score() const;
    [[nodiscard]] outlier_assessment explain() const;
    /// Returns a summary of recent requests, including overdue ones, for the other gates of the service.
    [[nodiscard]] target_summary summary() const;
    /// Returns true when the summary should be sent immediately, at most every 100 ms. Each gate that
    /// receives it answers with its own summary, so that a general slow-down is detected before the evidence
    /// triggers ejection.
    [[nodiscard]] bool is_suspicious() const;

private:
    struct record {
        std::uint64_t request = 0;
        steady_time started_at{};
        steady_time ended_at{};
        std::optional<request_outcome> outcome{};  ///< Empty while in flight.
        double log_latency = 0;
        bool withheld = false;
    };
    // Mean and variance of the target's own log latency and its failure rate, averaged over several minutes.
    struct history {
        double count = 0;
        double mean = 0;
        double variance = 0;
        double failure_rate = 0;
    };
    struct evidence {
        double sum = 0;
        std::size_t bad_requests = 0;
    };
    // The baseline in use and the log likelihood ratios derived from it.
    struct active_baseline {
        service_baseline values{};
        bool uses_own_history = false;
        bool has_latency = false;
        double failure_log_ratio = 0;
        double success_log_ratio = 0;
        double spread = 1;
        double slowdown = 1;
    };
    struct window_evidence {
        evidence failures{};
        evidence latency{};
        std::size_t overdue = 0;
    };

    record* find(std::uint64_t request);
    void update_history(const record& ended);
    void update_assessment();
    [[nodiscard]] active_baseline current_baseline() const;
    [[nodiscard]] window_evidence accumulate_evidence(const active_baseline& baseline) const;
    [[nodiscard]] outlier_assessment assess(const window_evidence& found,
                                            const active_baseline& baseline) const;
    [[nodiscard]] double age_weight(const record& item) const;
    [[nodiscard]] double compute_failure_log_ratio(const record& item, const active_baseline& baseline,
                                                   bool withholds_crashes) const;
    [[nodiscard]] double compute_latency_log_ratio(const record& item, const active_baseline& baseline) const;
    [[nodiscard]] double log_latency_of(const record& item) const;

    const time_source& clock_;
    const std::string target_;
    const outlier_detection_options options_;
    mutable std::mutex mutex_;
    std::deque<record> window_;                                   ///< Ordered by start time.
    std::unordered_map<std::uint64_t, std::uint64_t> positions_;  ///< Number of each request in flight.
    std::uint64_t first_number_ = 0;                              ///< Number of the window's first record.
    service_baseline baseline_;
    steady_time baseline_received_at_{};
    history history_;
    crash_evidence crashes_;
    std::optional<steady_time> sufficient_since_;
    outlier_assessment latest_assessment_;
};

}  // namespace teaselpitch
