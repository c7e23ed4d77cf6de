#include "servers/admission/service_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselpitch {
namespace {

constexpr double newest_demand_weight = 0.5;

}  // namespace

service_limiter::service_limiter(const time_source& clock, const share_options& options,
                                 std::string availability_zone, limit_lookup lookup_limit)
    : clock_(clock),
      options_(options),
      zone_(std::move(availability_zone)),
      lookup_limit_(std::move(lookup_limit)) {}

bool service_limiter::try_acquire(std::string_view service) {
    const std::string name(service);
    const double limit = lookup_limit_({zone_, name});
    const std::lock_guard lock(mutex_);
    service_share& entry = shares_[name];
    if (limit > 0 && entry.running >= max_concurrent(entry, clock_.now())) {
        ++entry.refused;
        return false;
    }
    ++entry.running;
    entry.peak_running = std::max(entry.peak_running, entry.running);
    return true;
}

void service_limiter::release(std::string_view service) {
    const std::lock_guard lock(mutex_);
    const auto found = shares_.find(std::string(service));
    if (found != shares_.end() && found->second.running > 0) {
        --found->second.running;
    }
}

std::uint32_t service_limiter::max_concurrent(const service_share& entry, steady_time now) const {
    const double granted = now < entry.granted_until ? entry.granted : 0;
    return std::max(1U, static_cast<std::uint32_t>(std::floor(granted)));
}

void service_limiter::on_grant(const share_grant& grant) {
    const std::lock_guard lock(mutex_);
    const auto found = shares_.find(grant.key.service);
    if (found == shares_.end() || found->second.sequence != grant.sequence || grant.key.owner != zone_) {
        return;
    }
    found->second.granted = grant.share;
    found->second.granted_until = found->second.reported_at + grant.valid_for;
}

std::vector<demand_report> service_limiter::on_tick() {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    std::vector<demand_report> reports;
    for (auto& [service, entry] : shares_) {
        const bool is_new = entry.sequence == 0;
        const bool is_due = now - entry.reported_at >= options_.report_interval;
        const bool is_used = entry.peak_running > 0 || entry.refused > 0 || now < entry.granted_until;
        if (is_new || (is_due && is_used)) {
            reports.push_back(make_report(service, entry, now));
        }
    }
    return reports;
}

demand_report service_limiter::make_report(const std::string& service, service_share& entry,
                                           steady_time now) const {
    // Each refused request would have run for only a part of the interval, so refused requests at most double
    // the peak.
    const double newest_demand =
        entry.peak_running + std::min(entry.refused, std::max(entry.peak_running, 1U));
    entry.demand =
        std::max(newest_demand, entry.demand + newest_demand_weight * (newest_demand - entry.demand));
    entry.peak_running = entry.running;
    entry.refused = 0;
    entry.reported_at = now;
    ++entry.sequence;
    const double granted = now < entry.granted_until ? entry.granted : 0;
    // Requests beyond a reduced share are still running and count towards the held share.
    return {{zone_, service}, entry.demand, std::max<double>(granted, entry.running), entry.sequence};
}

std::uint32_t service_limiter::running_count(std::string_view service) const {
    const std::lock_guard lock(mutex_);
    const auto found = shares_.find(std::string(service));
    return found == shares_.end() ? 0 : found->second.running;
}

}  // namespace teaselpitch
