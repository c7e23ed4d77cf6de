#include "servers/health/lost_answers.h"

#include <utility>

namespace teaselpitch {

lost_answers::lost_answers(const time_source& clock, lost_answer_options options)
    : clock_(clock), options_(options) {}

void lost_answers::add(lost_answer lost) {
    const std::lock_guard lock(mutex_);
    remove_expired();
    entries_.push_back({.lost = std::move(lost), .lost_at = clock_.now()});
    if (entries_.size() > options_.max_answers) {
        entries_.pop_front();
    }
}

std::vector<lost_answer> lost_answers::take(const target_identity& target) {
    const std::lock_guard lock(mutex_);
    remove_expired();
    std::vector<lost_answer> taken;
    std::erase_if(entries_, [&](entry& item) {
        if (item.lost.target != target) {
            return false;
        }
        taken.push_back(std::move(item.lost));
        return true;
    });
    return taken;
}

std::size_t lost_answers::size() const {
    const std::lock_guard lock(mutex_);
    return entries_.size();
}

void lost_answers::remove_expired() {
    while (!entries_.empty() && clock_.now() - entries_.front().lost_at > options_.memory) {
        entries_.pop_front();
    }
}

}  // namespace teaselpitch
