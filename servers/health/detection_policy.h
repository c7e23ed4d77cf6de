#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include "core/detection_policy.h"

namespace teaselpitch {

/// Error rates and least evidence of the sequential tests.
struct judge_options {
    /// Log likelihood ratio that asks for ejection. A CUSUM test raises a false alarm about once in
    /// exp(threshold) requests.
    double threshold = 20.0;
    /// Bad or overdue requests below which no ejection is asked for.
    std::size_t least_evidence = 5;
    /// Time for which the evidence must stand, so that reports of the other targets about a general
    /// slow-down arrive first.
    std::chrono::milliseconds confirmation{100};
    /// The same while no report of the other targets has arrived since the evidence sufficed.
    std::chrono::milliseconds unanswered_confirmation{400};
    /// Concurrent requests of the target; the least evidence is never above it.
    std::uint32_t slots = 4;
    /// Age at which evidence counts half.
    std::chrono::milliseconds half_life{5'000};
};

judge_options options_for(detection_policy policy, std::uint32_t slots);

}  // namespace teaselpitch
