#include "servers/admission/service_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace teaselpitch {
namespace {

constexpr double demand_weight = 0.5;

}  // namespace

service_limiter::service_limiter(const time_source& clock, const share_options& options,
                                 std::string availability_zone, limit_hook limit_of)
    : clock_(clock), options_(options), zone_(std::move(availability_zone)), limit_of_(std::move(limit_of)) {}

bool service_limiter::begin(std::string_view service) {
    const std::string name(service);
    const double limit = limit_of_({zone_, name});
    const std::lock_guard lock(mutex_);
    share& entry = shares_[name];
    if (limit > 0 && entry.running >= places(entry, clock_.now())) {
        ++entry.refused;
        return false;
    }
    ++entry.running;
    entry.peak = std::max(entry.peak, entry.running);
    return true;
}

void service_limiter::end(std::string_view service) {
    const std::lock_guard lock(mutex_);
    const auto found = shares_.find(std::string(service));
    if (found != shares_.end() && found->second.running > 0) {
        --found->second.running;
    }
}

std::uint32_t service_limiter::places(const share& entry, steady_time now) const {
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
        const bool is_used = entry.peak > 0 || entry.refused > 0 || now < entry.granted_until;
        if (is_new || (is_due && is_used)) {
            reports.push_back(report_of(service, entry, now));
        }
    }
    return reports;
}

demand_report service_limiter::report_of(const std::string& service, share& entry, steady_time now) const {
    // Refused requests would each have needed a place for a part of the interval; at most they double the
    // peak.
    const double newest = entry.peak + std::min(entry.refused, std::max(entry.peak, 1U));
    entry.demand = std::max(newest, entry.demand + demand_weight * (newest - entry.demand));
    entry.peak = entry.running;
    entry.refused = 0;
    entry.reported_at = now;
    ++entry.sequence;
    const double granted = now < entry.granted_until ? entry.granted : 0;
    // Requests above a reduced share still run, so they count as held.
    return {{zone_, service}, entry.demand, std::max<double>(granted, entry.running), entry.sequence};
}

std::uint32_t service_limiter::running(std::string_view service) const {
    const std::lock_guard lock(mutex_);
    const auto found = shares_.find(std::string(service));
    return found == shares_.end() ? 0 : found->second.running;
}

}  // namespace teaselpitch
