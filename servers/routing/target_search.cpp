#include "servers/routing/target_search.h"

#include <algorithm>

namespace teaselpitch {
namespace {

void remove_all(std::vector<std::string>& names, std::vector<std::string>& removed) {
    std::erase_if(names, [&removed](const std::string& name) {
        return std::find(removed.begin(), removed.end(), name) != removed.end();
    });
    removed.clear();
}

}  // namespace

target_search::target_search(std::uint32_t free_slot_hops, std::uint32_t max_hops)
    : free_slot_hops_(free_slot_hops),
      max_hops_(max_hops),
      phase_(free_slot_hops > 0 ? phase::free_slot : phase::queue) {}

void target_search::on_attempt_end(std::string_view target, const exchange_result& result) {
    ++hops_;
    if (target.empty()) {
        return;  // The holder of the key chooses the target itself.
    }
    excluded_.emplace_back(target);
    if (result.error == error_kind::target_suspect) {
        suspect_targets_.emplace_back(target);
    } else if (result.error == error_kind::overloaded && phase_ == phase::free_slot) {
        full_targets_.emplace_back(target);
    }
    if (phase_ == phase::free_slot && hops_ >= free_slot_hops_) {
        start_queueing();
    }
}

bool target_search::relax_exclusions() {
    if (phase_ == phase::free_slot) {
        start_queueing();
        return true;
    }
    if (phase_ == phase::queue && !suspect_targets_.empty()) {
        phase_ = phase::last_resort;
        remove_all(excluded_, suspect_targets_);
        return true;
    }
    return false;
}

void target_search::start_queueing() {
    phase_ = phase::queue;
    remove_all(excluded_, full_targets_);
}

}  // namespace teaselpitch
