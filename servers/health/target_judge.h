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
#include "servers/health/detection_policy.h"
#include "servers/health/service_digest.h"

namespace teaselpitch {

/// How a request ended at its target, as the gate saw it.
enum class work_outcome : std::uint8_t {
    success,
    failure,    ///< The target answered with a server error, broke the answer off or refused the connection.
    timeout,    ///< No answer within the deadline.
    crash,      ///< The connection broke after the request was sent.
    cancelled,  ///< The caller gave up; only the time until then is evidence.
};

/// The figures behind a verdict, for explain.
struct judgement {
    double badness = 0;           ///< 0 is healthy; 1 or more asks for ejection.
    double failure_evidence = 0;  ///< Log likelihood ratio of the test on failures.
    double latency_evidence = 0;  ///< Log likelihood ratio of the test on log latency.
    double threshold = 0;         ///< Log likelihood ratio that asks for ejection.
    std::size_t requests = 0;     ///< Requests in the window, those in flight included.
    std::size_t failures = 0;
    std::size_t overdue = 0;           ///< Requests in flight beyond the usual time.
    std::size_t withheld_crashes = 0;  ///< Crashes that are held against a request and not the target.
    service_baseline baseline{};       ///< What the target is compared with.
    bool own_past = false;             ///< The baseline is the target's own past, for lack of other targets.
    bool confirming = false;           ///< The evidence suffices but has not stood for long enough.
};

/// Judges one guarded target by its work, with two sequential tests against the service's baseline: on
/// failures and on log latency.
///
/// Requests are ordered by their start. Each test is the largest sum of log likelihood ratios over the
/// requests since some start (a CUSUM test), so a request that hangs alone while later ones succeed
/// is no evidence, and a target that hangs is detected without any answer. The sums are taken anew
/// with each baseline, so evidence disappears when the other targets turn out to be as slow.
/// Safe to use from several threads; the lock is held for microseconds.
class target_judge {
public:
    target_judge(const time_source& clock, std::string target, judge_options options);

    /// Notes that the request went to the target. The number is unique among requests in flight.
    void on_start(std::uint64_t request);
    /// Notes the end of a request. `fingerprint` is required for crashes only.
    void on_end(std::uint64_t request, work_outcome outcome, std::chrono::nanoseconds latency,
                std::uint64_t fingerprint = 0);
    /// Replaces the baseline of the other targets.
    void on_baseline(const service_baseline& baseline);
    /// Takes overdue requests into account; call several times in the shortest wanted detection time.
    void on_tick();

    /// 0 is healthy; 1 or more asks for ejection.
    [[nodiscard]] double badness() const;
    [[nodiscard]] judgement explain() const;
    /// Recent work for the other gates of the service; includes overdue requests.
    [[nodiscard]] target_summary summary() const;
    /// True when the summary should be sent at once, at most every 100 ms. Each gate that receives it
    /// answers with its own summary, so that a general slow-down is known before the evidence suffices.
    [[nodiscard]] bool suspicious() const;

private:
    struct record {
        std::uint64_t request = 0;
        steady_time started_at{};
        steady_time ended_at{};
        std::optional<work_outcome> outcome{};  ///< Empty while in flight.
        double log_latency = 0;
        bool withheld = false;
    };
    // Mean and spread of the target's own log latency and failures over some minutes.
    struct past {
        double count = 0;
        double mean = 0;
        double variance = 0;
        double failure_rate = 0;
    };
    struct evidence {
        double sum = 0;
        std::size_t bad = 0;
    };
    // The baseline in use and the log likelihood ratios that follow from it.
    struct active_baseline {
        service_baseline values{};
        bool own_past = false;
        bool latency_known = false;
        double ratio_of_failure = 0;
        double ratio_of_success = 0;
        double spread = 1;
        double slowdown = 1;
    };
    struct window_evidence {
        evidence failures{};
        evidence latency{};
        std::size_t overdue = 0;
    };

    record* find(std::uint64_t request);
    void learn(const record& ended);
    void refresh();
    [[nodiscard]] active_baseline baseline_now() const;
    [[nodiscard]] window_evidence weigh_window(const active_baseline& baseline) const;
    [[nodiscard]] judgement judgement_of(const window_evidence& found, const active_baseline& baseline) const;
    [[nodiscard]] double age_weight(const record& item) const;
    [[nodiscard]] double failure_ratio(const record& item, const active_baseline& baseline,
                                       bool withholds) const;
    [[nodiscard]] double latency_ratio(const record& item, const active_baseline& baseline) const;
    [[nodiscard]] double log_latency_of(const record& item) const;

    const time_source& clock_;
    const std::string target_;
    const judge_options options_;
    mutable std::mutex mutex_;
    std::deque<record> window_;                                   ///< Ordered by start.
    std::unordered_map<std::uint64_t, std::uint64_t> positions_;  ///< Request in flight to its number.
    std::uint64_t first_number_ = 0;                              ///< Number of the window's first record.
    service_baseline others_;
    steady_time others_at_{};
    past past_;
    crash_evidence crashes_;
    std::optional<steady_time> enough_since_;
    judgement latest_;
};

}  // namespace teaselpitch
