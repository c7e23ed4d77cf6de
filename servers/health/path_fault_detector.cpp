#include "servers/health/path_fault_detector.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace teaselpitch {
namespace {

constexpr double normal_fault_rate = 0.005;
constexpr double suspect_fault_rate = 0.5;
const double fault_log_ratio = std::log(suspect_fault_rate / normal_fault_rate);
const double success_log_ratio = std::log((1 - suspect_fault_rate) / (1 - normal_fault_rate));
constexpr double max_counted_faults = 8.0;  // Bounds the sum, so that a restored path is detected quickly.
constexpr double negligible_evidence = 0.05;

// Log likelihood ratios by detection policy. The lowest triggers ejection after two consecutive faults, the
// others after three and four.
constexpr std::array<double, 3> ejection_thresholds{18.0, 13.0, 9.0};

}  // namespace

path_fault_options path_fault_options_for(detection_policy policy) {
    return {.threshold = ejection_thresholds[static_cast<std::size_t>(policy)]};
}

path_fault_detector::path_fault_detector(const time_source& clock, path_fault_options options)
    : clock_(clock), options_(options) {}

void path_fault_detector::on_result(std::string_view target, std::string_view node, std::uint64_t connection,
                                    path_outcome outcome) {
    const std::lock_guard lock(mutex_);
    switch (outcome) {
        case path_outcome::answered:
            add_evidence(targets_, target, success_log_ratio);
            add_evidence(nodes_, node, success_log_ratio);
            break;
        case path_outcome::unreachable:
        case path_outcome::connection_unresponsive:
        case path_outcome::connection_lost:
            add_connection_fault(nodes_, node, connection);
            break;
        case path_outcome::answer_broken:
            add_evidence(targets_, target, fault_log_ratio);
            break;
        case path_outcome::gate_overdue:
            add_evidence(nodes_, node, fault_log_ratio);
            break;
    }
}

void path_fault_detector::on_ping_answer(std::string_view node) {
    const std::lock_guard lock(mutex_);
    add_evidence(nodes_, node, success_log_ratio);
}

void path_fault_detector::on_tick() {
    const std::lock_guard lock(mutex_);
    const auto is_negligible = [this](const auto& item) {
        return decayed_sum(item.second) < negligible_evidence;
    };
    std::erase_if(targets_, is_negligible);
    std::erase_if(nodes_, is_negligible);
}

double path_fault_detector::target_outlier_score(std::string_view target) const {
    const std::lock_guard lock(mutex_);
    return outlier_score_in(targets_, target);
}

double path_fault_detector::node_outlier_score(std::string_view node) const {
    const std::lock_guard lock(mutex_);
    return outlier_score_in(nodes_, node);
}

std::vector<path_evidence> path_fault_detector::suspect_targets() const {
    const std::lock_guard lock(mutex_);
    return list_evidence(targets_);
}

std::vector<path_evidence> path_fault_detector::suspect_nodes() const {
    const std::lock_guard lock(mutex_);
    return list_evidence(nodes_);
}

// A success without earlier evidence creates no entry.
void path_fault_detector::add_evidence(entries& evidence_by_name, std::string_view name, double ratio) const {
    auto found = evidence_by_name.find(name);
    if (found == evidence_by_name.end()) {
        if (ratio <= 0 || evidence_by_name.size() >= options_.max_entries) {
            return;
        }
        found = evidence_by_name.emplace(std::string(name), entry{}).first;
    }
    entry& item = found->second;
    item.sum = std::clamp(decayed_sum(item) + ratio, 0.0, max_counted_faults * fault_log_ratio);
    item.updated_at = clock_.now();
}

void path_fault_detector::add_connection_fault(entries& evidence_by_name, std::string_view name,
                                               std::uint64_t connection) const {
    const auto found = evidence_by_name.find(name);
    if (found != evidence_by_name.end() && found->second.last_connection == connection) {
        return;
    }
    add_evidence(evidence_by_name, name, fault_log_ratio);
    if (const auto counted = evidence_by_name.find(name); counted != evidence_by_name.end()) {
        counted->second.last_connection = connection;
    }
}

double path_fault_detector::decayed_sum(const entry& item) const {
    const auto age = std::chrono::duration<double>(clock_.now() - item.updated_at);
    return item.sum * std::exp2(-age / options_.half_life);
}

double path_fault_detector::outlier_score_in(const entries& evidence_by_name, std::string_view name) const {
    const auto found = evidence_by_name.find(name);
    return found == evidence_by_name.end() ? 0.0 : decayed_sum(found->second) / options_.threshold;
}

std::vector<path_evidence> path_fault_detector::list_evidence(const entries& evidence_by_name) const {
    std::vector<path_evidence> result;
    for (const auto& [name, item] : evidence_by_name) {
        const double outlier_score = decayed_sum(item) / options_.threshold;
        if (outlier_score > 0) {
            result.push_back({.name = name, .outlier_score = outlier_score});
        }
    }
    return result;
}

}  // namespace teaselpitch
