#include "servers/health/path_judge.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaselpitch {
namespace {

constexpr double usual_fault_rate = 0.005;
constexpr double suspect_fault_rate = 0.5;
const double fault_ratio = std::log(suspect_fault_rate / usual_fault_rate);
const double success_ratio = std::log((1 - suspect_fault_rate) / (1 - usual_fault_rate));
constexpr double most_faults = 8.0;  // Bounds the sum, so that a restored path is seen soon.
constexpr double forgotten = 0.05;

// Two, three and four faults in a row ask for ejection.
constexpr std::array<double, 3> thresholds{18.0, 13.0, 9.0};

}  // namespace

path_options path_options_for(detection_policy policy) {
    return {.threshold = thresholds[static_cast<std::size_t>(policy)]};
}

path_judge::path_judge(const time_source& clock, path_options options) : clock_(clock), options_(options) {}

void path_judge::on_result(std::string_view target, std::string_view node, std::uint64_t connection,
                           path_outcome outcome) {
    const std::lock_guard lock(mutex_);
    switch (outcome) {
        case path_outcome::answered:
            count(targets_, target, success_ratio);
            count(nodes_, node, success_ratio);
            break;
        case path_outcome::unreachable:
        case path_outcome::connection_silent:
        case path_outcome::connection_lost:
            count_fault(nodes_, node, connection);
            break;
        case path_outcome::answer_broken:
            count(targets_, target, fault_ratio);
            break;
        case path_outcome::gate_overdue:
            count(nodes_, node, fault_ratio);
            break;
    }
}

void path_judge::on_ping(std::string_view node) {
    const std::lock_guard lock(mutex_);
    count(nodes_, node, success_ratio);
}

void path_judge::on_tick() {
    const std::lock_guard lock(mutex_);
    const auto is_forgotten = [this](const auto& item) { return aged(item.second) < forgotten; };
    std::erase_if(targets_, is_forgotten);
    std::erase_if(nodes_, is_forgotten);
}

double path_judge::target_badness(std::string_view target) const {
    const std::lock_guard lock(mutex_);
    return badness_in(targets_, target);
}

double path_judge::node_badness(std::string_view node) const {
    const std::lock_guard lock(mutex_);
    return badness_in(nodes_, node);
}

std::vector<path_evidence> path_judge::suspect_targets() const {
    const std::lock_guard lock(mutex_);
    return list(targets_);
}

std::vector<path_evidence> path_judge::suspect_nodes() const {
    const std::lock_guard lock(mutex_);
    return list(nodes_);
}

// Success about something without evidence needs no entry.
void path_judge::count(entries& where, std::string_view name, double ratio) const {
    auto found = where.find(name);
    if (found == where.end()) {
        if (ratio <= 0 || where.size() >= options_.most_entries) {
            return;
        }
        found = where.emplace(std::string(name), entry{}).first;
    }
    entry& item = found->second;
    item.sum = std::clamp(aged(item) + ratio, 0.0, most_faults * fault_ratio);
    item.updated_at = clock_.now();
}

void path_judge::count_fault(entries& where, std::string_view name, std::uint64_t connection) const {
    const auto found = where.find(name);
    if (found != where.end() && found->second.last_connection == connection) {
        return;
    }
    count(where, name, fault_ratio);
    if (const auto counted = where.find(name); counted != where.end()) {
        counted->second.last_connection = connection;
    }
}

double path_judge::aged(const entry& item) const {
    const auto age = std::chrono::duration<double>(clock_.now() - item.updated_at);
    return item.sum * std::exp2(-age / options_.half_life);
}

double path_judge::badness_in(const entries& where, std::string_view name) const {
    const auto found = where.find(name);
    return found == where.end() ? 0.0 : aged(found->second) / options_.threshold;
}

std::vector<path_evidence> path_judge::list(const entries& where) const {
    std::vector<path_evidence> result;
    for (const auto& [name, item] : where) {
        const double badness = aged(item) / options_.threshold;
        if (badness > 0) {
            result.push_back({.name = name, .badness = badness});
        }
    }
    return result;
}

}  // namespace teaselpitch
