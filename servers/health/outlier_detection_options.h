#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/detection_policy.h"

namespace teaselpitch {

/// Thresholds and confirmation times of the sequential tests of the outlier detector.
struct outlier_detection_options {
    /// Log likelihood ratio that triggers ejection. A CUSUM test raises a false alarm about once per
    /// exp(threshold) requests.
    double threshold = 20.0;
    /// Minimum number of failed, slow or overdue requests that triggers ejection.
    std::size_t min_bad_requests = 5;
    /// Time for which the evidence must persist, so that reports from the other targets about a general
    /// slow-down arrive first.
    std::chrono::milliseconds confirmation_time{100};
    /// The same time when no report from the other targets has arrived since the evidence reached the
    /// threshold.
    std::chrono::milliseconds unanswered_confirmation_time{400};
    /// Concurrent requests of the target; an upper limit for `min_bad_requests`.
    std::uint32_t slots = 4;
    /// Age at which evidence has half its weight.
    std::chrono::milliseconds half_life{5'000};
};

outlier_detection_options outlier_detection_options_for(detection_policy policy, std::uint32_t slots);

}  // namespace teaselpitch
