#include "servers/admission/memory_budget.h"

#include <algorithm>

namespace teaselpitch {

memory_budget::memory_budget(const time_source& clock, const memory_budget_options& options)
    : clock_(clock), options_(options) {}

memory_budget::holder_id memory_budget::add_holder(const void* owner) {
    const std::lock_guard lock(mutex_);
    const holder_id id = next_id_++;
    holders_.emplace(id, holder{.owner = owner, .progress_at = clock_.now()});
    return id;
}

void memory_budget::remove_holder(holder_id id) {
    const std::lock_guard lock(mutex_);
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    held_ -= found->second.bytes;
    if (found->second.closing) {
        closing_bytes_ -= found->second.bytes;
        --closing_count_;
    }
    holders_.erase(found);
}

void memory_budget::charge(holder_id id, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    found->second.bytes += bytes;
    held_ += bytes;
    closing_bytes_ += found->second.closing ? bytes : 0;
}

bool memory_budget::try_charge(holder_id id, std::size_t bytes, memory_mark mark) {
    const std::lock_guard lock(mutex_);
    const auto found = holders_.find(id);
    if (found == holders_.end() || held_ + bytes > bytes_at(mark)) {
        return false;
    }
    found->second.bytes += bytes;
    held_ += bytes;
    closing_bytes_ += found->second.closing ? bytes : 0;
    return true;
}

void memory_budget::release(holder_id id, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    const auto found = holders_.find(id);
    if (found == holders_.end()) {
        return;
    }
    const std::size_t released = std::min(bytes, found->second.bytes);
    found->second.bytes -= released;
    held_ -= released;
    closing_bytes_ -= found->second.closing ? released : 0;
}

void memory_budget::note_progress(holder_id id) {
    const std::lock_guard lock(mutex_);
    if (const auto found = holders_.find(id); found != holders_.end()) {
        found->second.progress_at = clock_.now();
    }
}

void memory_budget::set_sent(holder_id id, bool sent) {
    const std::lock_guard lock(mutex_);
    if (const auto found = holders_.find(id); found != holders_.end()) {
        found->second.sent = sent;
    }
}

void memory_budget::add_waiting(int count) {
    const std::lock_guard lock(mutex_);
    waiting_ += count;
}

std::optional<memory_budget::holder_id> memory_budget::take_victim(const void* owner) {
    const std::lock_guard lock(mutex_);
    // What is being closed already counts as released, so that one shortage closes no more than needed.
    const bool critical = mark_of(held_ - closing_bytes_) == memory_mark::critical;
    if (!critical && waiting_ <= closing_count_) {
        return std::nullopt;
    }
    const steady_time now = clock_.now();
    auto best = holders_.end();
    double best_score = 0;
    for (auto it = holders_.begin(); it != holders_.end(); ++it) {
        const holder& entry = it->second;
        const std::chrono::duration<double, std::milli> silent = now - entry.progress_at;
        if (entry.owner == nullptr || entry.sent || entry.closing || entry.bytes == 0 ||
            (!critical && silent < options_.stall)) {
            continue;
        }
        // A millisecond is added, so that holders are compared by bytes when all have just made progress.
        const double score = static_cast<double>(entry.bytes) * (silent.count() + 1);
        if (best == holders_.end() || score > best_score) {
            best = it;
            best_score = score;
        }
    }
    // The holder's own server takes it, on its own thread.
    if (best == holders_.end() || best->second.owner != owner) {
        return std::nullopt;
    }
    best->second.closing = true;
    closing_bytes_ += best->second.bytes;
    ++closing_count_;
    ++counts_[static_cast<std::size_t>(critical ? memory_action::critical_closed
                                                : memory_action::stalled_closed)];
    return best->first;
}

void memory_budget::count(memory_action action) {
    const std::lock_guard lock(mutex_);
    ++counts_[static_cast<std::size_t>(action)];
}

memory_mark memory_budget::mark() const {
    const std::lock_guard lock(mutex_);
    return mark_of(held_);
}

std::size_t memory_budget::held_bytes() const {
    const std::lock_guard lock(mutex_);
    return held_;
}

std::uint64_t memory_budget::count_of(memory_action action) const {
    const std::lock_guard lock(mutex_);
    return counts_[static_cast<std::size_t>(action)];
}

std::size_t memory_budget::bytes_at(memory_mark mark) const {
    const auto capacity = static_cast<double>(options_.capacity_bytes);
    switch (mark) {
        case memory_mark::calm:
            return 0;
        case memory_mark::low:
            return static_cast<std::size_t>(capacity * options_.low_share);
        case memory_mark::high:
            return static_cast<std::size_t>(capacity * options_.high_share);
        case memory_mark::critical:
            return options_.capacity_bytes;
    }
    return 0;
}

memory_mark memory_budget::mark_of(std::size_t bytes) const {
    for (const memory_mark mark : {memory_mark::critical, memory_mark::high, memory_mark::low}) {
        if (bytes >= bytes_at(mark)) {
            return mark;
        }
    }
    return memory_mark::calm;
}

}  // namespace teaselpitch
