#include "modules/node/slot_loan_report.h"

#include <chrono>
#include <utility>

#include "core/event_log.h"

namespace teaselpitch {

void slot_loan_report::on_second_tick(const std::vector<std::shared_ptr<managed_target>>& targets,
                                      node_metrics& metrics) {
    constexpr auto slow = static_cast<std::size_t>(reclaim_reason::slow_caller);
    constexpr auto share = static_cast<std::size_t>(reclaim_reason::share);
    absl::flat_hash_map<std::string, slot_loan_load> latest;
    for (const auto& target : targets) {
        const guarded_target& guarded = target->guarded();
        const std::string& name = guarded.identity().name;
        const slot_loan_load load = guarded.loan_load();
        const auto known = reported_.find(name);
        const slot_loan_load before = known == reported_.end() ? slot_loan_load{} : known->second;
        latest.emplace(name, load);
        if (load == before) {
            continue;
        }
        metrics.set_slot_loans(name, load);
        // The counts start anew with each incarnation of a target.
        const auto added = [](std::uint64_t now, std::uint64_t then) {
            return now >= then ? now - then : now;
        };
        const std::uint64_t reclaimed_slow = added(load.reclaimed[slow], before.reclaimed[slow]);
        const std::uint64_t reclaimed_share = added(load.reclaimed[share], before.reclaimed[share]);
        const std::uint64_t refused = added(load.refused, before.refused);
        if (reclaimed_slow + reclaimed_share + refused == 0) {
            continue;
        }
        const std::chrono::duration<double, std::milli> longest_wait = load.longest_wait;
        log_event(event_level::warning, "slots_held_by_callers",
                  {{"target", name},
                   {"service", guarded.service()},
                   {"slots", guarded.load().slots},
                   {"lent", load.lent},
                   {"callers", load.callers},
                   {"most_by_one_caller", load.most_by_one_caller},
                   {"longest_wait_ms", longest_wait.count()},
                   {"reclaimed_slow_caller", reclaimed_slow},
                   {"reclaimed_share", reclaimed_share},
                   {"refused", refused}});
    }
    reported_ = std::move(latest);
}

}  // namespace teaselpitch
