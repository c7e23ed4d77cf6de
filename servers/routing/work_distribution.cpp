#include "servers/routing/work_distribution.h"

#include <algorithm>
#include <cmath>

namespace teaselpitch {
namespace {

constexpr double first_bucket_ms = 0.5;
constexpr double buckets_per_doubling = 2;
constexpr double max_work_ms = 370'000;

}  // namespace

std::size_t work_distribution::bucket_of(double work_ms) {
    if (!(work_ms > first_bucket_ms)) {
        return 0;
    }
    const double position = std::log2(work_ms / first_bucket_ms) * buckets_per_doubling;
    return std::min(static_cast<std::size_t>(position), bucket_count - 1);
}

// The geometric middle of the bucket.
double work_distribution::value_of(std::size_t bucket) {
    constexpr double middle = 0.5;
    return first_bucket_ms * std::exp2((static_cast<double>(bucket) + middle) / buckets_per_doubling);
}

void work_distribution::add(double work_ms) {
    const double bounded = std::isfinite(work_ms) ? std::clamp(work_ms, 0.0, max_work_ms) : max_work_ms;
    buckets_[bucket_of(bounded)] += 1;
    weight_ += 1;
    sum_ms_ += bounded;
}

void work_distribution::scale(double factor) {
    for (float& bucket : buckets_) {
        bucket *= static_cast<float>(factor);
    }
    weight_ *= factor;
    sum_ms_ *= factor;
}

double work_distribution::mean_ms() const {
    return weight_ > 0 ? sum_ms_ / weight_ : 0;
}

double work_distribution::quantile_ms(double share) const {
    double left = share * weight_;
    double value = 0;
    for (std::size_t i = 0; i < bucket_count; ++i) {
        if (buckets_[i] <= 0) {
            continue;
        }
        value = value_of(i);
        left -= buckets_[i];
        if (left <= 0) {
            break;
        }
    }
    return value;
}

double work_distribution::weight_above(double elapsed_ms) const {
    double above = 0;
    for (std::size_t i = bucket_count; i-- > 0 && value_of(i) > elapsed_ms;) {
        above += buckets_[i];
    }
    return above;
}

double work_distribution::remaining_ms(double elapsed_ms) const {
    if (elapsed_ms <= 0) {
        return mean_ms();
    }
    double above = 0;
    double sum = 0;
    for (std::size_t i = bucket_count; i-- > 0 && value_of(i) > elapsed_ms;) {
        above += buckets_[i];
        sum += buckets_[i] * (value_of(i) - elapsed_ms);
    }
    return above > 0 ? sum / above : 0;
}

}  // namespace teaselpitch
