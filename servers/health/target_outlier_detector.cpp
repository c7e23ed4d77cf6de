#include "servers/health/target_outlier_detector.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t window_size = 160;
constexpr std::size_t summary_size = 32;
constexpr std::chrono::seconds baseline_lifetime{5};  // Digests arrive every second.
constexpr double suspicion_threshold = 0.3;
constexpr double max_outlier_score = 8.0;
constexpr double max_unconfirmed_score =
    0.99;  // Upper limit of the score before the evidence triggers ejection.
constexpr double noise_score =
    0.05;  // Lower scores are reported as 0, because healthy targets reach them too.

constexpr double min_normal_failure_rate =
    0.02;  // Rate of scattered errors that is always treated as normal.
constexpr double min_suspect_failure_rate =
    0.2;  // A target with a gray failure fails at least this share of its requests.
constexpr double max_suspect_failure_rate = 0.9;
constexpr double suspect_failure_factor = 10.0;

constexpr double min_log_spread = 0.2;  // Of log latency. A smaller spread would turn noise into evidence.
// Requests count as evidence from the square root of this factor, so a target that is 1.5 times slower is not
// an outlier.
const double min_log_slowdown = std::log(4.0);
constexpr double slowdown_in_spreads = 1.5;
constexpr double min_log_ratio = -2.0;  // Bounds the evidence of one request.
constexpr double max_log_ratio = 3.0;
constexpr double max_overdue_log_ratio = 8.0;
constexpr double overdue_spreads = 3.0;

constexpr double history_requests =
    2'000;  // Number of requests over which the target's own history is averaged.
constexpr double min_history_requests = 50;
constexpr double suspicious_learning_factor =
    0.05;  // Keeps a fault from becoming the target's normal history within a minute.

double log_ms(std::chrono::nanoseconds latency) {
    return std::log(std::max(std::chrono::duration<double, std::milli>(latency).count(), 0.01));
}

bool is_failure(request_outcome outcome) {
    return outcome == request_outcome::failure || outcome == request_outcome::timeout ||
           outcome == request_outcome::crash;
}

// Adds one request to the running sum and keeps the largest sum, which is the CUSUM statistic.
template <typename Evidence>
void extend_cusum(Evidence& best, Evidence& current, double ratio, double weight) {
    current.sum += ratio * weight;
    current.bad_requests += ratio > 0 ? 1 : 0;
    if (current.sum > best.sum) {
        best = current;
    }
}

}  // namespace

target_outlier_detector::target_outlier_detector(const time_source& clock, std::string target,
                                                 outlier_detection_options options)
    : clock_(clock), target_(std::move(target)), options_(options) {}

void target_outlier_detector::on_request_start(std::uint64_t request) {
    const std::lock_guard lock(mutex_);
    positions_[request] = first_number_ + window_.size();
    window_.push_back({.request = request, .started_at = clock_.now()});
    if (window_.size() > window_size) {
        if (!window_.front().outcome) {
            positions_.erase(window_.front().request);
        }
        window_.pop_front();
        ++first_number_;
    }
}

void target_outlier_detector::on_request_end(std::uint64_t request, request_outcome outcome,
                                             std::chrono::nanoseconds latency, std::uint64_t fingerprint) {
    const std::lock_guard lock(mutex_);
    record* ended = find(request);
    if (ended == nullptr) {
        return;  // The request is no longer in the window.
    }
    positions_.erase(request);
    const steady_time now = clock_.now();
    ended->ended_at = now;
    ended->outcome = outcome;
    ended->log_latency = log_ms(latency);
    if (outcome == request_outcome::crash) {
        ended->withheld = true;
        crashes_.on_crash(now, fingerprint);
    } else if (is_failure(outcome)) {
        crashes_.on_plain_failure(now);
    }
    update_history(*ended);
    update_assessment();
}

void target_outlier_detector::on_baseline(const service_baseline& baseline) {
    const std::lock_guard lock(mutex_);
    baseline_ = baseline;
    baseline_received_at_ = clock_.now();
    update_assessment();
}

void target_outlier_detector::on_tick() {
    const std::lock_guard lock(mutex_);
    crashes_.on_tick(clock_.now());
    update_assessment();
}

double target_outlier_detector::outlier_score() const {
    const std::lock_guard lock(mutex_);
    return latest_assessment_.outlier_score;
}

outlier_assessment target_outlier_detector::explain() const {
    const std::lock_guard lock(mutex_);
    return latest_assessment_;
}

bool target_outlier_detector::is_suspicious() const {
    const std::lock_guard lock(mutex_);
    return latest_assessment_.outlier_score >= suspicion_threshold;
}

target_summary target_outlier_detector::summary() const {
    const std::lock_guard lock(mutex_);
    target_summary result{.target = target_};
    const active_baseline baseline = current_baseline();
    double sum = 0;
    double sum_of_squares = 0;
    double latency_count = 0;
    for (auto item = window_.rbegin(); item != window_.rend() && result.requests < summary_size; ++item) {
        const bool overdue = !item->outcome && compute_latency_log_ratio(*item, baseline) > 0;
        if ((!item->outcome && !overdue) || item->outcome == request_outcome::cancelled || item->withheld) {
            continue;
        }
        ++result.requests;
        result.failures += item->outcome && is_failure(*item->outcome) ? 1 : 0;
        if (overdue || item->outcome == request_outcome::success ||
            item->outcome == request_outcome::timeout) {
            const double value = log_latency_of(*item);
            sum += value;
            sum_of_squares += value * value;
            latency_count += 1;
        }
    }
    if (latency_count > 0) {
        result.mean_log_latency = sum / latency_count;
        const double variance =
            sum_of_squares / latency_count - result.mean_log_latency * result.mean_log_latency;
        result.log_latency_deviation = std::sqrt(std::max(variance, 0.0));
    }
    return result;
}

target_outlier_detector::record* target_outlier_detector::find(std::uint64_t request) {
    const auto position = positions_.find(request);
    if (position == positions_.end()) {
        return nullptr;
    }
    return &window_[position->second - first_number_];
}

void target_outlier_detector::update_history(const record& ended) {
    if (ended.outcome == request_outcome::cancelled || ended.withheld) {
        return;
    }
    history_.count = std::min(history_.count + 1, history_requests);
    const double learning_factor =
        latest_assessment_.outlier_score >= suspicion_threshold ? suspicious_learning_factor : 1.0;
    const double weight = learning_factor / history_.count;
    history_.failure_rate += weight * ((is_failure(*ended.outcome) ? 1.0 : 0.0) - history_.failure_rate);
    if (ended.outcome == request_outcome::success) {
        const double distance = ended.log_latency - history_.mean;
        history_.mean += weight * distance;
        history_.variance += weight * (distance * distance * (1 - weight) - history_.variance);
    }
}

target_outlier_detector::active_baseline target_outlier_detector::current_baseline() const {
    active_baseline result;
    if (baseline_.targets > 0 && clock_.now() - baseline_received_at_ <= baseline_lifetime) {
        result.values = baseline_;
        result.has_latency = true;
    } else {
        result.values = {.targets = 0,
                         .failure_rate = history_.failure_rate,
                         .log_latency = history_.mean,
                         .log_spread = std::sqrt(std::max(history_.variance, 0.0))};
        result.uses_own_history = true;
        result.has_latency = history_.count >= min_history_requests;
    }
    const double usual = std::clamp(result.values.failure_rate, min_normal_failure_rate, 0.8);
    const double suspect =
        std::clamp(usual * suspect_failure_factor, min_suspect_failure_rate, max_suspect_failure_rate);
    result.failure_log_ratio = std::log(suspect / usual);
    result.success_log_ratio = std::log((1 - suspect) / (1 - usual));
    result.spread = std::max(result.values.log_spread, min_log_spread);
    result.slowdown = std::max(slowdown_in_spreads * result.spread, min_log_slowdown);
    return result;
}

double target_outlier_detector::age_weight(const record& item) const {
    if (!item.outcome) {
        return 1.0;
    }
    const auto age = std::chrono::duration<double>(clock_.now() - item.ended_at);
    return std::exp2(-age / options_.half_life);
}

double target_outlier_detector::compute_failure_log_ratio(const record& item, const active_baseline& baseline,
                                                          bool withholds_crashes) const {
    if (!item.outcome || item.outcome == request_outcome::cancelled || (item.withheld && withholds_crashes)) {
        return 0;
    }
    return is_failure(*item.outcome) ? baseline.failure_log_ratio : baseline.success_log_ratio;
}

double target_outlier_detector::log_latency_of(const record& item) const {
    return item.outcome ? item.log_latency : log_ms(clock_.now() - item.started_at);
}

double target_outlier_detector::compute_latency_log_ratio(const record& item,
                                                          const active_baseline& baseline) const {
    if (!baseline.has_latency) {
        return 0;
    }
    const bool measured = item.outcome == request_outcome::success;
    const bool unfinished = !item.outcome || item.outcome == request_outcome::timeout ||
                            item.outcome == request_outcome::cancelled;
    if (!measured && !unfinished) {
        return 0;  // Errors are often faster than successful answers.
    }
    const double spread = baseline.spread;
    const double distance = log_latency_of(item) - baseline.values.log_latency;
    const double ratio = baseline.slowdown / (spread * spread) * (distance - baseline.slowdown / 2);
    if (measured) {
        return std::clamp(ratio, min_log_ratio, max_log_ratio);
    }
    // The elapsed time is a lower bound of the latency, so a short time is no evidence of good health.
    return distance < overdue_spreads * spread ? std::clamp(ratio, 0.0, max_log_ratio)
                                               : std::clamp(ratio, 0.0, max_overdue_log_ratio);
}

target_outlier_detector::window_evidence target_outlier_detector::accumulate_evidence(
    const active_baseline& baseline) const {
    window_evidence found;
    evidence failures;
    evidence latency;
    const bool withholds_crashes = crashes_.withholds_crashes();
    for (auto item = window_.rbegin(); item != window_.rend(); ++item) {
        const double weight = age_weight(*item);
        const double latency_log_ratio = compute_latency_log_ratio(*item, baseline);
        extend_cusum(found.failures, failures, compute_failure_log_ratio(*item, baseline, withholds_crashes),
                     weight);
        extend_cusum(found.latency, latency, latency_log_ratio, weight);
        found.overdue += !item->outcome && latency_log_ratio > 0 ? 1 : 0;
    }
    return found;
}

outlier_assessment target_outlier_detector::assess(const window_evidence& found,
                                                   const active_baseline& baseline) const {
    const std::size_t required_bad_requests =
        std::min<std::size_t>(options_.min_bad_requests, options_.slots);
    const auto score_of = [&](const evidence& part) {
        const double value = part.sum / options_.threshold;
        return part.bad_requests >= required_bad_requests ? value : std::min(value, max_unconfirmed_score);
    };
    const double outlier_score =
        std::min(std::max(score_of(found.failures), score_of(found.latency)), max_outlier_score);
    outlier_assessment result{.outlier_score = outlier_score < noise_score ? 0.0 : outlier_score,
                              .failure_evidence = found.failures.sum,
                              .latency_evidence = found.latency.sum,
                              .threshold = options_.threshold,
                              .requests = window_.size(),
                              .overdue = found.overdue,
                              .baseline = baseline.values,
                              .uses_own_history = baseline.uses_own_history};
    const bool withholds_crashes = crashes_.withholds_crashes();
    for (const record& item : window_) {
        result.failures += item.outcome && is_failure(*item.outcome) ? 1 : 0;
        result.withheld_crashes += item.withheld && withholds_crashes ? 1 : 0;
    }
    return result;
}

void target_outlier_detector::update_assessment() {
    const active_baseline baseline = current_baseline();
    outlier_assessment assessment = assess(accumulate_evidence(baseline), baseline);
    const steady_time now = clock_.now();
    if (assessment.outlier_score < 1.0) {
        sufficient_since_.reset();
    } else if (!sufficient_since_) {
        sufficient_since_ = now;
    }
    if (sufficient_since_) {
        const bool baseline_renewed = baseline.uses_own_history || baseline_received_at_ > *sufficient_since_;
        const auto required_time =
            baseline_renewed ? options_.confirmation_time : options_.unanswered_confirmation_time;
        assessment.confirming = now - *sufficient_since_ < required_time;
    }
    assessment.outlier_score = assessment.confirming ? max_unconfirmed_score : assessment.outlier_score;
    latest_assessment_ = assessment;
}

}  // namespace teaselpitch
