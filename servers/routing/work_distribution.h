#pragma once

#include <array>
#include <cstddef>

namespace teaselpitch {

/// Distribution of the work of similar requests: a histogram with logarithmic buckets and the weighted sum of
/// the samples. Uses a fixed amount of memory.
class work_distribution {
public:
    /// Adds one sample with weight 1. Non-positive samples count as the smallest bucket.
    void add(double work_ms);
    /// Multiplies the weight of all samples, so that older ones count less than later ones.
    void scale(double factor);

    /// Sum of the weights of the samples.
    [[nodiscard]] double weight() const { return weight_; }
    /// Weighted mean; 0 without samples.
    [[nodiscard]] double mean_ms() const;
    /// Work that a share of the samples does not exceed; 0 without samples. `share` is in 0..1.
    [[nodiscard]] double quantile_ms(double share) const;
    /// Weight of the samples above `elapsed_ms`.
    [[nodiscard]] double weight_above(double elapsed_ms) const;
    /// Mean remaining work of a request that has run for `elapsed_ms`, from the samples that took longer; 0
    /// when there are none.
    [[nodiscard]] double remaining_ms(double elapsed_ms) const;

private:
    // 0.5 ms to 370 s in steps of a factor of the square root of 2.
    static constexpr std::size_t bucket_count = 40;

    [[nodiscard]] static std::size_t bucket_of(double work_ms);
    [[nodiscard]] static double value_of(std::size_t bucket);

    std::array<float, bucket_count> buckets_{};
    double weight_ = 0;
    double sum_ms_ = 0;
};

}  // namespace teaselpitch
