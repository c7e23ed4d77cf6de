#include "servers/records/decision_log.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

bool matches_id(const decision_record& record, std::string_view id) {
    return id.empty() || record.id == id ||
           (record.subject != decision_subject::request && record.service == id);
}

void cut(std::string& text) {
    if (text.size() > decision_log::max_text_bytes) {
        text.resize(decision_log::max_text_bytes);
        text.shrink_to_fit();
    }
}

void cut_texts(decision_record& record) {
    for (std::string* text : {&record.id, &record.service, &record.decision, &record.rule}) {
        cut(*text);
    }
    for (decision_evidence& entry : record.evidence) {
        cut(entry.name);
        cut(entry.value);
    }
}

std::size_t bytes_of(const decision_record& record) {
    std::size_t bytes = sizeof(decision_record) + record.id.capacity() + record.service.capacity() +
                        record.decision.capacity() + record.rule.capacity();
    for (const decision_evidence& entry : record.evidence) {
        bytes += sizeof(decision_evidence) + entry.name.capacity() + entry.value.capacity();
    }
    return bytes;
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
    cut_texts(record);
    const std::size_t added = bytes_of(record);
    const std::lock_guard lock(mutex_);
    record.sequence = next_sequence_++;
    auto& [records, bytes] = rings_[static_cast<std::size_t>(record.subject)];
    while (!records.empty() && (records.size() == capacity_ || bytes + added > max_bytes_per_subject)) {
        bytes -= bytes_of(records.front());
        records.pop_front();
    }
    bytes += added;
    records.push_back(std::move(record));
}

std::vector<decision_record> decision_log::find(decision_subject subject, std::string_view id,
                                                std::size_t limit) const {
    std::vector<decision_record> found;
    const std::lock_guard lock(mutex_);
    id = id.substr(0, max_text_bytes);
    const auto& records = rings_[static_cast<std::size_t>(subject)].records;
    for (auto record = records.rbegin(); record != records.rend() && found.size() < limit; ++record) {
        if (matches_id(*record, id)) {
            found.push_back(*record);
        }
    }
    std::reverse(found.begin(), found.end());
    return found;
}

}  // namespace teaselpitch
