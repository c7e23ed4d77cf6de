#include "main/load/detection.h"

#include <algorithm>
#include <unordered_map>

namespace teaselpitch {
namespace {

constexpr double max_trial_traffic_share = 0.05;
constexpr history_time detection_window_us = 1'000'000;
/// An answer is slow if it took more than this multiple of the median duration before the fault.
constexpr history_time slow_factor = 3;

using calls_by_id = std::unordered_map<std::string, const call_record*>;

history_time median_duration_us(const std::vector<const execution_record*>& target_executions,
                                history_time end_limit) {
    std::vector<history_time> durations_us;
    for (const execution_record* execution : target_executions) {
        if (execution->end > 0 && execution->end <= end_limit) {
            durations_us.push_back(execution->end - execution->start);
        }
    }
    if (durations_us.empty()) {
        return 0;
    }
    const auto middle = durations_us.begin() + static_cast<std::ptrdiff_t>(durations_us.size() / 2);
    std::nth_element(durations_us.begin(), middle, durations_us.end());
    return *middle;
}

// Returns the time at which the caller or the target could observe that this execution was bad (failed, slow
// or incomplete); empty if it was good.
std::optional<history_time> bad_answer_time(const execution_record& execution, const calls_by_id& calls,
                                            history_time usual_duration_us) {
    const auto call = calls.find(execution.call_id);
    const bool failed = call != calls.end() && (call->second->status == 0 || call->second->status >= 500);
    if (failed) {
        return call->second->end;
    }
    if (execution.end == 0) {
        return call == calls.end() ? std::nullopt : std::optional(call->second->end);
    }
    const bool slow =
        usual_duration_us > 0 && execution.end - execution.start > slow_factor * usual_duration_us;
    return slow || !execution.completed ? std::optional(execution.end) : std::nullopt;
}

}  // namespace

detection_result measure_detection_time(const history& recorded, const target_fault& fault,
                                        history_time measured_from, history_time measured_to) {
    calls_by_id calls;
    for (const call_record& call : recorded.calls) {
        calls.emplace(call.call_id, &call);
    }
    std::vector<const execution_record*> target_executions;
    std::vector<history_time> starts;
    for (const execution_record& execution : recorded.executions) {
        if (execution.target == fault.target && execution.start >= measured_from) {
            target_executions.push_back(&execution);
            starts.push_back(execution.start);
        }
    }
    std::sort(starts.begin(), starts.end());
    detection_result result{fault.target, std::nullopt, std::nullopt};
    const history_time usual_duration_us = median_duration_us(target_executions, fault.injected_at);
    for (const execution_record* execution : target_executions) {
        const auto bad = bad_answer_time(*execution, calls, usual_duration_us);
        if (bad && *bad >= fault.injected_at &&
            (!result.first_bad_answer || *bad < *result.first_bad_answer)) {
            result.first_bad_answer = bad;
        }
    }
    const auto starts_before_fault =
        std::lower_bound(starts.begin(), starts.end(), fault.injected_at) - starts.begin();
    const history_time time_before_fault_us = fault.injected_at - measured_from;
    if (!result.first_bad_answer || starts_before_fault == 0 || time_before_fault_us <= 0) {
        return result;
    }
    const double max_starts_in_window = max_trial_traffic_share * static_cast<double>(starts_before_fault) *
                                        static_cast<double>(detection_window_us) /
                                        static_cast<double>(time_before_fault_us);
    std::vector<history_time> window_starts{*result.first_bad_answer};
    for (const history_time start : starts) {
        if (start >= *result.first_bad_answer) {
            window_starts.push_back(start + 1);
        }
    }
    for (const history_time window_start : window_starts) {
        const auto first = std::lower_bound(starts.begin(), starts.end(), window_start);
        const auto last = std::lower_bound(first, starts.end(), window_start + detection_window_us);
        if (window_start + detection_window_us <= measured_to &&
            static_cast<double>(last - first) <= max_starts_in_window) {
            result.detected_after = window_start - *result.first_bad_answer;
            break;
        }
    }
    return result;
}

}  // namespace teaselpitch
