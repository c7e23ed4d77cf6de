#include "servers/health/verdict_announcer.h"

#include <algorithm>

namespace teaselpitch {

verdict_announcer::verdict_announcer(const time_source& clock, announcer_options options)
    : clock_(clock), options_(options) {}

void verdict_announcer::on_request(std::string_view node) {
    const std::lock_guard lock(mutex_);
    const auto known = nodes_.find(node);
    if (known != nodes_.end()) {
        known->second = clock_.now();
        return;
    }
    if (nodes_.size() >= options_.max_nodes) {
        const auto oldest = std::min_element(
            nodes_.begin(), nodes_.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        nodes_.erase(oldest);
    }
    nodes_.emplace(node, clock_.now());
}

std::vector<std::string> verdict_announcer::on_outlier_score(double outlier_score) {
    const std::lock_guard lock(mutex_);
    const bool triggers_ejection = outlier_score >= 1.0;
    if (triggers_ejection == ejection_triggered_) {
        return {};
    }
    ejection_triggered_ = triggers_ejection;
    remove_old_nodes();
    std::vector<std::string> result;
    result.reserve(nodes_.size());
    for (const auto& [name, seen_at] : nodes_) {
        result.push_back(name);
    }
    return result;
}

void verdict_announcer::remove_old_nodes() {
    std::erase_if(nodes_,
                  [this](const auto& item) { return clock_.now() - item.second > options_.recent_use_time; });
}

}  // namespace teaselpitch
