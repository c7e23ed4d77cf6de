#include "main/load/detection.h"

#include <algorithm>
#include <unordered_map>

namespace teaselpitch {
namespace {

constexpr double trial_share = 0.05;
constexpr history_time window = 1'000'000;
/// An answer counts as slow when it takes this many times the median before the fault.
constexpr history_time slow_factor = 3;

using calls_by_id = std::unordered_map<std::string, const call_record*>;

history_time median_run(const std::vector<const execution_record*>& runs, history_time until) {
    std::vector<history_time> times;
    for (const execution_record* run : runs) {
        if (run->end > 0 && run->end <= until) {
            times.push_back(run->end - run->start);
        }
    }
    if (times.empty()) {
        return 0;
    }
    const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
    std::nth_element(times.begin(), middle, times.end());
    return *middle;
}

// The moment when the caller or the target knew that this run was bad; empty for a good one.
std::optional<history_time> bad_at(const execution_record& run, const calls_by_id& calls,
                                   history_time usual) {
    const auto call = calls.find(run.call_id);
    const bool failed = call != calls.end() && (call->second->status == 0 || call->second->status >= 500);
    if (failed) {
        return call->second->end;
    }
    if (run.end == 0) {
        return call == calls.end() ? std::nullopt : std::optional(call->second->end);
    }
    const bool slow = usual > 0 && run.end - run.start > slow_factor * usual;
    return slow || !run.completed ? std::optional(run.end) : std::nullopt;
}

}  // namespace

detection_result measure_detection(const history& recorded, const target_fault& fault,
                                   history_time measured_from, history_time measured_to) {
    calls_by_id calls;
    for (const call_record& call : recorded.calls) {
        calls.emplace(call.call_id, &call);
    }
    std::vector<const execution_record*> runs;
    std::vector<history_time> starts;
    for (const execution_record& run : recorded.executions) {
        if (run.target == fault.target && run.start >= measured_from) {
            runs.push_back(&run);
            starts.push_back(run.start);
        }
    }
    std::sort(starts.begin(), starts.end());
    detection_result result{fault.target, std::nullopt, std::nullopt};
    const history_time usual = median_run(runs, fault.when);
    for (const execution_record* run : runs) {
        const auto bad = bad_at(*run, calls, usual);
        if (bad && *bad >= fault.when && (!result.first_bad || *bad < *result.first_bad)) {
            result.first_bad = bad;
        }
    }
    const auto before = std::lower_bound(starts.begin(), starts.end(), fault.when) - starts.begin();
    const history_time span = fault.when - measured_from;
    if (!result.first_bad || before == 0 || span <= 0) {
        return result;
    }
    const double allowed =
        trial_share * static_cast<double>(before) * static_cast<double>(window) / static_cast<double>(span);
    std::vector<history_time> candidates{*result.first_bad};
    for (const history_time start : starts) {
        if (start >= *result.first_bad) {
            candidates.push_back(start + 1);
        }
    }
    for (const history_time from : candidates) {
        const auto first = std::lower_bound(starts.begin(), starts.end(), from);
        const auto last = std::lower_bound(first, starts.end(), from + window);
        if (from + window <= measured_to && static_cast<double>(last - first) <= allowed) {
            result.detected_after = from - *result.first_bad;
            break;
        }
    }
    return result;
}

}  // namespace teaselpitch
