#include "servers/records/outcome_counters.h"

namespace teaselpitch {
namespace {

bool is_caller_fault(error_kind error) {
    switch (error) {
        case error_kind::malformed_request:
        case error_kind::header_too_large:
        case error_kind::body_too_large:
        case error_kind::no_route:
        case error_kind::account_limited:
        case error_kind::unauthenticated:
        case error_kind::key_conflict:
        case error_kind::quarantined:
        case error_kind::cancelled:
            return true;
        default:
            return false;
    }
}

outcome classify_error(error_kind error) {
    if (is_caller_fault(error)) {
        return outcome::caller_fault;
    }
    switch (error) {
        case error_kind::deadline_expired:
        case error_kind::target_timeout:
            return outcome::timed_out;
        case error_kind::answer_broken:
            return outcome::wrong;
        case error_kind::key_in_doubt:
        case error_kind::outcome_unknown:
        case error_kind::internal:
            return outcome::unknown;
        default:
            return outcome::refused;
    }
}

}  // namespace

std::string_view to_string(outcome value) {
    constexpr std::array<std::string_view, outcome_count> names{
        "good", "slow", "refused", "timed_out", "wrong", "unknown", "caller_fault"};
    return names[static_cast<std::size_t>(value)];
}

outcome classify_outcome(error_kind error, unsigned http_status, std::chrono::nanoseconds latency,
                         std::chrono::nanoseconds latency_objective) {
    if (error != error_kind::none) {
        return classify_error(error);
    }
    constexpr unsigned min_server_error_status = 500;
    if (http_status >= min_server_error_status) {
        return outcome::wrong;
    }
    return latency > latency_objective ? outcome::slow : outcome::good;
}

outcome_counters::outcome_counters(const time_source& clock) : clock_(clock) {}

void outcome_counters::add(std::string_view service, std::string_view availability_zone, outcome value) {
    const std::int64_t minute = current_minute();
    const std::lock_guard lock(mutex_);
    series& counted_series = series_[series_key{std::string(service), std::string(availability_zone)}];
    increment(counted_series.minute_buckets[static_cast<std::size_t>(minute) % minute_bucket_count], minute,
              value);
    const std::int64_t period = minute / coarse_bucket_length.count();
    increment(counted_series.coarse_buckets[static_cast<std::size_t>(period) % coarse_bucket_count], period,
              value);
}

std::vector<outcome_window> outcome_counters::windows(std::span<const std::chrono::minutes> lengths) const {
    const std::int64_t now = current_minute();
    std::vector<outcome_window> result;
    const std::lock_guard lock(mutex_);
    for (const auto& [key, source] : series_) {
        for (const std::chrono::minutes length : lengths) {
            result.push_back({key.service, key.availability_zone, length, sum_window(source, now, length)});
        }
    }
    return result;
}

std::vector<outcome_minute> outcome_counters::minutes() const {
    const std::int64_t now = current_minute();
    std::vector<outcome_minute> result;
    const std::lock_guard lock(mutex_);
    for (const auto& [key, source] : series_) {
        for (const bucket& entry : source.minute_buckets) {
            const std::int64_t age = now - entry.period;
            if (entry.period < 0 || age >= static_cast<std::int64_t>(minute_bucket_count)) {
                continue;
            }
            outcome_minute minute{key.service, key.availability_zone, std::chrono::minutes{age}, {}};
            for (std::size_t i = 0; i < outcome_count; ++i) {
                minute.counts[i] = entry.counts[i];
            }
            result.push_back(std::move(minute));
        }
    }
    return result;
}

void outcome_counters::increment(bucket& counted_bucket, std::int64_t period, outcome value) {
    if (counted_bucket.period != period) {
        counted_bucket = bucket{};
        counted_bucket.period = period;
    }
    ++counted_bucket.counts[static_cast<std::size_t>(value)];
}

std::int64_t outcome_counters::current_minute() const {
    return std::chrono::floor<std::chrono::minutes>(clock_.now().time_since_epoch()).count();
}

outcome_counts outcome_counters::sum_window(const series& source, std::int64_t now,
                                            std::chrono::minutes length) {
    outcome_counts total{};
    const auto add = [&total](const bucket& entry) {
        for (std::size_t i = 0; i < outcome_count; ++i) {
            total[i] += entry.counts[i];
        }
    };
    if (length.count() <= static_cast<std::int64_t>(minute_bucket_count)) {
        for (const bucket& entry : source.minute_buckets) {
            if (entry.period >= 0 && entry.period > now - length.count()) {
                add(entry);
            }
        }
        return total;
    }
    const std::int64_t oldest = (now - length.count()) / coarse_bucket_length.count();
    for (const bucket& entry : source.coarse_buckets) {
        if (entry.period >= 0 && entry.period > oldest) {
            add(entry);
        }
    }
    return total;
}

}  // namespace teaselpitch
