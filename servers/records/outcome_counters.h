#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/error_kind.h"

namespace teaselpitch {

/// Outcome of a request for its caller, as counted by the error budget burn report.
enum class outcome : std::uint8_t {
    good,          ///< A complete answer within the latency objective.
    slow,          ///< A complete answer, later than the latency objective.
    refused,       ///< Not run, for a reason within the fleet.
    timed_out,     ///< The deadline passed before the answer.
    wrong,         ///< A 5xx answer of the target, or a broken answer.
    unknown,       ///< The caller received an error according to which the request may have run.
    caller_fault,  ///< A fault of the caller; does not count against the error budget.
};
constexpr std::size_t outcome_count = 7;

std::string_view to_string(outcome value);

/// Classifies the result of a request for the error budget burn report.
outcome classify_outcome(error_kind error, unsigned http_status, std::chrono::nanoseconds latency,
                         std::chrono::nanoseconds latency_objective);

using outcome_counts = std::array<std::uint64_t, outcome_count>;

/// Outcome counts of one service and availability zone in a window that ends now.
struct outcome_window {
    std::string service;
    std::string availability_zone;
    std::chrono::minutes length;
    outcome_counts counts{};
};

/// Outcome counts of one service and availability zone in one minute, for plots.
struct outcome_minute {
    std::string service;
    std::string availability_zone;
    std::chrono::minutes age;  ///< Time before now.
    outcome_counts counts{};
};

/// Counts the outcomes of requests of callers at this node, in minute buckets for the last hour and
/// ten-minute buckets for the last day. Only services with requests occupy memory. Thread-safe.
class outcome_counters {
public:
    explicit outcome_counters(const time_source& clock);

    void add(std::string_view service, std::string_view availability_zone, outcome value);

    /// Returns the counts of each service and zone for each window length. Windows of more than an hour are
    /// counted with a resolution of ten minutes.
    [[nodiscard]] std::vector<outcome_window> windows(std::span<const std::chrono::minutes> lengths) const;
    /// Returns the counts of each minute of the last hour that had requests.
    [[nodiscard]] std::vector<outcome_minute> minutes() const;

private:
    static constexpr std::size_t minute_bucket_count = 60;
    static constexpr std::size_t coarse_bucket_count = 144;
    static constexpr std::chrono::minutes coarse_bucket_length{10};

    struct bucket {
        std::int64_t period = -1;  ///< Index of the period to which the counts belong.
        std::array<std::uint32_t, outcome_count> counts{};
    };
    struct series {
        std::array<bucket, minute_bucket_count> minute_buckets;
        std::array<bucket, coarse_bucket_count> coarse_buckets;
    };
    struct series_key {
        std::string service;
        std::string availability_zone;
        auto operator<=>(const series_key&) const = default;
    };

    static void increment(bucket& counted_bucket, std::int64_t period, outcome value);
    [[nodiscard]] std::int64_t current_minute() const;
    static outcome_counts sum_window(const series& source, std::int64_t now, std::chrono::minutes length);

    const time_source& clock_;
    mutable std::mutex mutex_;
    std::map<series_key, series> series_;
};

}  // namespace teaselpitch
