#include "servers/records/decision_log.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

bool matches_id(const decision_record& record, std::string_view id) {
    return id.empty() || record.id == id ||
           (record.subject != decision_subject::request && record.service == id);
}

}  // namespace

std::string_view to_string(decision_subject subject) {
    constexpr std::array<std::string_view, 4> names{"target", "request", "edit", "service"};
    return names[static_cast<std::size_t>(subject)];
}

decision_log::decision_log(const time_source& clock, std::size_t records_per_subject)
    : clock_(clock), capacity_(records_per_subject) {}

void decision_log::add(decision_record record) {
    record.when = clock_.wall_now();
    const std::lock_guard lock(mutex_);
    record.sequence = next_sequence_++;
    auto& ring = rings_[static_cast<std::size_t>(record.subject)];
    if (ring.size() == capacity_) {
        ring.pop_front();
    }
    ring.push_back(std::move(record));
}

std::vector<decision_record> decision_log::find(decision_subject subject, std::string_view id,
                                                std::size_t limit) const {
    std::vector<decision_record> found;
    const std::lock_guard lock(mutex_);
    const auto& ring = rings_[static_cast<std::size_t>(subject)];
    for (auto record = ring.rbegin(); record != ring.rend() && found.size() < limit; ++record) {
        if (matches_id(*record, id)) {
            found.push_back(*record);
        }
    }
    std::reverse(found.begin(), found.end());
    return found;
}

}  // namespace teaselpitch
