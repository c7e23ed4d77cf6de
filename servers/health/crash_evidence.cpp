#include "servers/health/crash_evidence.h"

#include <algorithm>
#include <chrono>

namespace teaselpitch {
namespace {

constexpr std::chrono::milliseconds crash_merge_time{
    200};  // Requests that break within this time belong to the same crash.
constexpr std::chrono::seconds crash_window{60};
constexpr std::chrono::seconds failure_window{5};
constexpr std::size_t min_plain_failures = 3;
constexpr std::size_t max_crashes = 16;
constexpr std::size_t max_fingerprints_per_crash = 64;

}  // namespace

void crash_evidence::on_crash(steady_time now, std::uint64_t fingerprint) {
    if (crashes_.empty() || now - crashes_.back().occurred_at > crash_merge_time) {
        crashes_.push_back({.occurred_at = now});
        if (crashes_.size() > max_crashes) {
            crashes_.pop_front();
        }
    }
    if (crashes_.back().fingerprints.size() < max_fingerprints_per_crash) {
        crashes_.back().fingerprints.insert(fingerprint);
    }
}

void crash_evidence::on_plain_failure(steady_time now) {
    plain_failures_.push_back(now);
    if (plain_failures_.size() > min_plain_failures) {
        plain_failures_.pop_front();
    }
}

void crash_evidence::on_tick(steady_time now) {
    while (!crashes_.empty() && now - crashes_.front().occurred_at > crash_window) {
        crashes_.pop_front();
    }
    while (!plain_failures_.empty() && now - plain_failures_.front() > failure_window) {
        plain_failures_.pop_front();
    }
}

bool crash_evidence::withholds_crashes() const {
    if (plain_failures_.size() >= min_plain_failures) {
        return false;
    }
    if (crashes_.size() < 2) {
        return true;
    }
    // A fingerprint that was in flight at every crash can be the cause of all of them.
    const std::set<std::uint64_t>& first = crashes_.front().fingerprints;
    return std::any_of(first.begin(), first.end(), [this](std::uint64_t fingerprint) {
        return std::all_of(crashes_.begin(), crashes_.end(), [fingerprint](const crash& item) {
            return item.fingerprints.contains(fingerprint);
        });
    });
}

}  // namespace teaselpitch
