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
    if (nodes_.size() >= options_.most_nodes) {
        const auto oldest = std::min_element(
            nodes_.begin(), nodes_.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
        nodes_.erase(oldest);
    }
    nodes_.emplace(node, clock_.now());
}

std::vector<std::string> verdict_announcer::on_badness(double badness) {
    const std::lock_guard lock(mutex_);
    const bool asks = badness >= 1.0;
    if (asks == asked_for_ejection_) {
        return {};
    }
    asked_for_ejection_ = asks;
    forget_old();
    std::vector<std::string> result;
    result.reserve(nodes_.size());
    for (const auto& [name, seen_at] : nodes_) {
        result.push_back(name);
    }
    return result;
}

void verdict_announcer::forget_old() {
    std::erase_if(nodes_, [this](const auto& item) { return clock_.now() - item.second > options_.recent; });
}

}  // namespace teaselpitch
