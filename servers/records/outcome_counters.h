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

/// What a caller saw, as the burn report counts it.
enum class outcome : std::uint8_t {
    good,          ///< A whole answer within the latency objective.
    slow,          ///< A whole answer, later than the latency objective.
    refused,       ///< Not run, for a reason on the fleet's side.
    timed_out,     ///< The deadline passed.
    wrong,         ///< A 5xx answer of the target or a broken answer.
    unknown,       ///< The caller was told that the request may have run.
    caller_fault,  ///< The caller's own fault; does not use the budget.
};
constexpr std::size_t outcome_count = 7;

std::string_view to_string(outcome value);

/// Classifies an answer for the burn report.
outcome classify_outcome(error_kind error, unsigned http_status, std::chrono::nanoseconds latency,
                         std::chrono::nanoseconds latency_objective);

using outcome_counts = std::array<std::uint64_t, outcome_count>;

/// Counts of one service and availability zone in one window that ends now.
struct outcome_window {
    std::string service;
    std::string availability_zone;
    std::chrono::minutes length;
    outcome_counts counts{};
};

/// One minute of one service, for plots.
struct outcome_minute {
    std::string service;
    std::string availability_zone;
    std::chrono::minutes age;  ///< Minutes before now.
    outcome_counts counts{};
};

/// Counts what callers saw at this node: minute buckets for the last hour and ten-minute buckets for the
/// last day, kept only for services that had requests. Safe for use by several threads.
class outcome_counters {
public:
    explicit outcome_counters(const time_source& clock);

    // Commands.
    void add(std::string_view service, std::string_view availability_zone, outcome value);

    // Queries.
    [[nodiscard]] std::vector<outcome_window> windows(std::span<const std::chrono::minutes> lengths) const;
    [[nodiscard]] std::vector<outcome_minute> minutes() const;

private:
    static constexpr std::size_t fine_buckets = 60;
    static constexpr std::size_t coarse_buckets = 144;
    static constexpr std::chrono::minutes coarse_length{10};

    struct bucket {
        std::int64_t period = -1;  ///< Index of the period that the counts belong to.
        std::array<std::uint32_t, outcome_count> counts{};
    };
    struct series {
        std::array<bucket, fine_buckets> fine;
        std::array<bucket, coarse_buckets> coarse;
    };
    struct series_key {
        std::string service;
        std::string availability_zone;
        auto operator<=>(const series_key&) const = default;
    };

    static void count(bucket& target, std::int64_t period, outcome value);
    [[nodiscard]] std::int64_t minute_now() const;
    static outcome_counts sum(const series& source, std::int64_t now, std::chrono::minutes length);

    const time_source& clock_;
    mutable std::mutex mutex_;
    std::map<series_key, series> series_;
};

}  // namespace teaselpitch
