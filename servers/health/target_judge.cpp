#include "servers/health/target_judge.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t window_size = 160;
constexpr std::size_t summary_size = 32;
constexpr std::chrono::seconds baseline_lifetime{5};  // Digests arrive each second.
constexpr double suspicious_from = 0.3;
constexpr double highest_badness = 8.0;
constexpr double unconfirmed = 0.99;  // Reported while the evidence does not yet ask for ejection.
constexpr double noise = 0.05;        // Below it, the sums of a healthy target are reported as 0.

constexpr double least_failure_rate = 0.02;  // Scattered errors that count as normal.
constexpr double least_suspect_rate = 0.2;   // A gray target fails at least this share of its work.
constexpr double highest_suspect_rate = 0.9;
constexpr double suspect_factor = 10.0;

constexpr double least_spread = 0.2;  // Of log latency; a smaller one would turn noise into evidence.
// The test weighs for and against at the root of this factor: a target that is 1.5 times slower stays.
const double least_slowdown = std::log(4.0);
constexpr double slowdown_in_spreads = 1.5;
constexpr double lowest_ratio = -2.0;  // Bounds what one request can prove.
constexpr double highest_ratio = 3.0;
constexpr double highest_overdue_ratio = 8.0;
constexpr double overdue_spreads = 3.0;

constexpr double past_requests = 2'000;  // Requests over which the own past is averaged.
constexpr double past_needed = 50;
constexpr double suspicious_learning = 0.05;  // Keeps a fault from becoming the own past within a minute.

double log_ms(std::chrono::nanoseconds latency) {
    return std::log(std::max(std::chrono::duration<double, std::milli>(latency).count(), 0.01));
}

bool is_failure(work_outcome outcome) {
    return outcome == work_outcome::failure || outcome == work_outcome::timeout ||
           outcome == work_outcome::crash;
}

// Adds one request to the sum since some start and keeps the largest sum, which is the CUSUM statistic.
template <typename Evidence>
void add_to_largest(Evidence& best, Evidence& current, double ratio, double weight) {
    current.sum += ratio * weight;
    current.bad += ratio > 0 ? 1 : 0;
    if (current.sum > best.sum) {
        best = current;
    }
}

}  // namespace

target_judge::target_judge(const time_source& clock, std::string target, judge_options options)
    : clock_(clock), target_(std::move(target)), options_(options) {}

void target_judge::on_start(std::uint64_t request) {
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

void target_judge::on_end(std::uint64_t request, work_outcome outcome, std::chrono::nanoseconds latency,
                          std::uint64_t fingerprint) {
    const std::lock_guard lock(mutex_);
    record* ended = find(request);
    if (ended == nullptr) {
        return;  // It started so long ago that it left the window.
    }
    positions_.erase(request);
    const steady_time now = clock_.now();
    ended->ended_at = now;
    ended->outcome = outcome;
    ended->log_latency = log_ms(latency);
    if (outcome == work_outcome::crash) {
        ended->withheld = true;
        crashes_.on_crash(now, fingerprint);
    } else if (is_failure(outcome)) {
        crashes_.on_plain_failure(now);
    }
    learn(*ended);
    refresh();
}

void target_judge::on_baseline(const service_baseline& baseline) {
    const std::lock_guard lock(mutex_);
    others_ = baseline;
    others_at_ = clock_.now();
    refresh();
}

void target_judge::on_tick() {
    const std::lock_guard lock(mutex_);
    crashes_.on_tick(clock_.now());
    refresh();
}

double target_judge::badness() const {
    const std::lock_guard lock(mutex_);
    return latest_.badness;
}

judgement target_judge::explain() const {
    const std::lock_guard lock(mutex_);
    return latest_;
}

bool target_judge::suspicious() const {
    const std::lock_guard lock(mutex_);
    return latest_.badness >= suspicious_from;
}

target_summary target_judge::summary() const {
    const std::lock_guard lock(mutex_);
    target_summary result{.target = target_};
    const active_baseline baseline = baseline_now();
    double sum = 0;
    double squares = 0;
    double timed = 0;
    for (auto item = window_.rbegin(); item != window_.rend() && result.requests < summary_size; ++item) {
        const bool overdue = !item->outcome && latency_ratio(*item, baseline) > 0;
        if ((!item->outcome && !overdue) || item->outcome == work_outcome::cancelled || item->withheld) {
            continue;
        }
        ++result.requests;
        result.failures += item->outcome && is_failure(*item->outcome) ? 1 : 0;
        if (overdue || item->outcome == work_outcome::success || item->outcome == work_outcome::timeout) {
            const double value = log_latency_of(*item);
            sum += value;
            squares += value * value;
            timed += 1;
        }
    }
    if (timed > 0) {
        result.mean_log_latency = sum / timed;
        const double variance = squares / timed - result.mean_log_latency * result.mean_log_latency;
        result.log_latency_deviation = std::sqrt(std::max(variance, 0.0));
    }
    return result;
}

target_judge::record* target_judge::find(std::uint64_t request) {
    const auto position = positions_.find(request);
    if (position == positions_.end()) {
        return nullptr;
    }
    return &window_[position->second - first_number_];
}

void target_judge::learn(const record& ended) {
    if (ended.outcome == work_outcome::cancelled || ended.withheld) {
        return;
    }
    past_.count = std::min(past_.count + 1, past_requests);
    const double caution = latest_.badness >= suspicious_from ? suspicious_learning : 1.0;
    const double weight = caution / past_.count;
    past_.failure_rate += weight * ((is_failure(*ended.outcome) ? 1.0 : 0.0) - past_.failure_rate);
    if (ended.outcome == work_outcome::success) {
        const double distance = ended.log_latency - past_.mean;
        past_.mean += weight * distance;
        past_.variance += weight * (distance * distance * (1 - weight) - past_.variance);
    }
}

target_judge::active_baseline target_judge::baseline_now() const {
    active_baseline result;
    if (others_.targets > 0 && clock_.now() - others_at_ <= baseline_lifetime) {
        result.values = others_;
        result.latency_known = true;
    } else {
        result.values = {.targets = 0,
                         .failure_rate = past_.failure_rate,
                         .log_latency = past_.mean,
                         .log_spread = std::sqrt(std::max(past_.variance, 0.0))};
        result.own_past = true;
        result.latency_known = past_.count >= past_needed;
    }
    const double usual = std::clamp(result.values.failure_rate, least_failure_rate, 0.8);
    const double suspect = std::clamp(usual * suspect_factor, least_suspect_rate, highest_suspect_rate);
    result.ratio_of_failure = std::log(suspect / usual);
    result.ratio_of_success = std::log((1 - suspect) / (1 - usual));
    result.spread = std::max(result.values.log_spread, least_spread);
    result.slowdown = std::max(slowdown_in_spreads * result.spread, least_slowdown);
    return result;
}

double target_judge::age_weight(const record& item) const {
    if (!item.outcome) {
        return 1.0;
    }
    const auto age = std::chrono::duration<double>(clock_.now() - item.ended_at);
    return std::exp2(-age / options_.half_life);
}

double target_judge::failure_ratio(const record& item, const active_baseline& baseline,
                                   bool withholds) const {
    if (!item.outcome || item.outcome == work_outcome::cancelled || (item.withheld && withholds)) {
        return 0;
    }
    return is_failure(*item.outcome) ? baseline.ratio_of_failure : baseline.ratio_of_success;
}

double target_judge::log_latency_of(const record& item) const {
    return item.outcome ? item.log_latency : log_ms(clock_.now() - item.started_at);
}

double target_judge::latency_ratio(const record& item, const active_baseline& baseline) const {
    if (!baseline.latency_known) {
        return 0;
    }
    const bool measured = item.outcome == work_outcome::success;
    const bool unfinished =
        !item.outcome || item.outcome == work_outcome::timeout || item.outcome == work_outcome::cancelled;
    if (!measured && !unfinished) {
        return 0;  // Errors are often faster than answers.
    }
    const double spread = baseline.spread;
    const double distance = log_latency_of(item) - baseline.values.log_latency;
    const double ratio = baseline.slowdown / (spread * spread) * (distance - baseline.slowdown / 2);
    if (measured) {
        return std::clamp(ratio, lowest_ratio, highest_ratio);
    }
    // The time so far is a lower bound: a short one proves nothing.
    return distance < overdue_spreads * spread ? std::clamp(ratio, 0.0, highest_ratio)
                                               : std::clamp(ratio, 0.0, highest_overdue_ratio);
}

target_judge::window_evidence target_judge::weigh_window(const active_baseline& baseline) const {
    window_evidence found;
    evidence failures;
    evidence latency;
    const bool withholds = crashes_.withholds();
    for (auto item = window_.rbegin(); item != window_.rend(); ++item) {
        const double weight = age_weight(*item);
        const double slow = latency_ratio(*item, baseline);
        add_to_largest(found.failures, failures, failure_ratio(*item, baseline, withholds), weight);
        add_to_largest(found.latency, latency, slow, weight);
        found.overdue += !item->outcome && slow > 0 ? 1 : 0;
    }
    return found;
}

judgement target_judge::judgement_of(const window_evidence& found, const active_baseline& baseline) const {
    const std::size_t least = std::min<std::size_t>(options_.least_evidence, options_.slots);
    const auto badness_of = [&](const evidence& part) {
        const double value = part.sum / options_.threshold;
        return part.bad >= least ? value : std::min(value, unconfirmed);
    };
    const double badness =
        std::min(std::max(badness_of(found.failures), badness_of(found.latency)), highest_badness);
    judgement result{.badness = badness < noise ? 0.0 : badness,
                     .failure_evidence = found.failures.sum,
                     .latency_evidence = found.latency.sum,
                     .threshold = options_.threshold,
                     .requests = window_.size(),
                     .overdue = found.overdue,
                     .baseline = baseline.values,
                     .own_past = baseline.own_past};
    const bool withholds = crashes_.withholds();
    for (const record& item : window_) {
        result.failures += item.outcome && is_failure(*item.outcome) ? 1 : 0;
        result.withheld_crashes += item.withheld && withholds ? 1 : 0;
    }
    return result;
}

void target_judge::refresh() {
    const active_baseline baseline = baseline_now();
    judgement next = judgement_of(weigh_window(baseline), baseline);
    const steady_time now = clock_.now();
    if (next.badness < 1.0) {
        enough_since_.reset();
    } else if (!enough_since_) {
        enough_since_ = now;
    }
    if (enough_since_) {
        const bool answered = baseline.own_past || others_at_ > *enough_since_;
        const auto needed = answered ? options_.confirmation : options_.unanswered_confirmation;
        next.confirming = now - *enough_since_ < needed;
    }
    next.badness = next.confirming ? unconfirmed : next.badness;
    latest_ = next;
}

}  // namespace teaselpitch
