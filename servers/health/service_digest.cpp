#include "servers/health/service_digest.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace teaselpitch {
namespace {

constexpr double deviation_per_mad =
    1.4826;  // Ratio of the standard deviation to the median absolute deviation of a normal distribution.

double median_of(std::vector<double> values) {
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2);
    std::nth_element(values.begin(), middle, values.end());
    if (values.size() % 2 == 1) {
        return *middle;
    }
    return (*middle + *std::max_element(values.begin(), middle)) / 2;
}

bool is_valid(const target_summary& summary) {
    return std::isfinite(summary.mean_log_latency) && std::isfinite(summary.log_latency_deviation) &&
           summary.log_latency_deviation >= 0 && summary.failures <= summary.requests;
}

// Returns a robust standard deviation of the targets' means around their median.
double robust_deviation(const std::vector<double>& means, double median) {
    std::vector<double> distances;
    distances.reserve(means.size());
    for (const double mean : means) {
        distances.push_back(std::abs(mean - median));
    }
    return deviation_per_mad * median_of(std::move(distances));
}

}  // namespace

service_digest::service_digest(const time_source& clock, digest_options options)
    : clock_(clock), options_(options) {}

void service_digest::on_summaries(std::string_view origin, std::uint64_t sequence,
                                  std::span<const target_summary> summaries) {
    const std::lock_guard lock(mutex_);
    for (const target_summary& summary : summaries) {
        const auto known = entries_.find(summary.target);
        if (!is_valid(summary) || (known == entries_.end() && entries_.size() >= options_.max_targets)) {
            continue;
        }
        if (known != entries_.end() && known->second.origin == origin && known->second.sequence >= sequence) {
            continue;
        }
        entries_.insert_or_assign(summary.target, entry{.summary = summary,
                                                        .origin = std::string(origin),
                                                        .sequence = sequence,
                                                        .received_at = clock_.now()});
    }
}

void service_digest::on_tick() {
    const std::lock_guard lock(mutex_);
    std::erase_if(entries_, [this](const auto& item) {
        return clock_.now() - item.second.received_at > options_.summary_lifetime;
    });
}

service_baseline service_digest::baseline_excluding(std::string_view target) const {
    std::vector<double> rates;
    std::vector<double> means;
    std::vector<double> deviations;
    {
        const std::lock_guard lock(mutex_);
        for (const auto& [name, item] : entries_) {
            if (name == target || !is_usable(item)) {
                continue;
            }
            const target_summary& summary = item.summary;
            rates.push_back(static_cast<double>(summary.failures) / static_cast<double>(summary.requests));
            means.push_back(summary.mean_log_latency);
            deviations.push_back(summary.log_latency_deviation);
        }
    }
    if (means.empty()) {
        return {};
    }
    const double median = median_of(means);
    const double target_spread = robust_deviation(means, median);
    return {.targets = means.size(),
            .failure_rate = median_of(std::move(rates)),
            .log_latency = median,
            .log_spread = std::hypot(median_of(std::move(deviations)), target_spread)};
}

std::size_t service_digest::usable_targets() const {
    const std::lock_guard lock(mutex_);
    return static_cast<std::size_t>(std::count_if(
        entries_.begin(), entries_.end(), [this](const auto& item) { return is_usable(item.second); }));
}

bool service_digest::is_usable(const entry& candidate) const {
    return clock_.now() - candidate.received_at <= options_.summary_lifetime &&
           candidate.summary.requests >= options_.min_requests;
}

}  // namespace teaselpitch
