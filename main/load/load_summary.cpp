#include "main/load/load_summary.h"

#include <fmt/format.h>

#include <algorithm>
#include <unordered_map>
#include <unordered_set>

#include "core/json.h"

namespace teaselpitch {
namespace {

namespace json = boost::json;

latency_summary compute_latency(std::vector<history_time> times) {
    std::sort(times.begin(), times.end());
    const auto at = [&times](double share) {
        const auto index = static_cast<std::size_t>(share * static_cast<double>(times.size()));
        return times.empty() ? 0 : times[std::min(index, times.size() - 1)];
    };
    return {times.size(), at(0.5), at(0.9), at(0.99), at(0.999)};
}

std::string classify_error(const call_record& call) {
    if (call.status == 0) {
        return "no-answer";
    }
    if (!call.error.empty()) {
        return call.error;
    }
    return call.status == 200 ? "none" : "status-" + std::to_string(call.status);
}

void count_execution_violations(const history& recorded, load_summary& summary) {
    std::unordered_set<std::string> non_idempotent_calls;
    std::unordered_set<std::string> executed_ids;
    for (const call_record& call : recorded.calls) {
        if (call.non_idempotent) {
            non_idempotent_calls.insert(call.call_id);
        }
    }
    std::unordered_map<std::string, std::size_t> execution_counts;
    for (const execution_record& execution : recorded.executions) {
        executed_ids.insert(execution.call_id);
        executed_ids.insert("key " + execution.idempotency_key);
        if (non_idempotent_calls.contains(execution.call_id)) {
            ++execution_counts[execution.idempotency_key.empty() ? execution.call_id
                                                                 : "key " + execution.idempotency_key];
        }
    }
    summary.doubled =
        static_cast<std::size_t>(std::count_if(execution_counts.begin(), execution_counts.end(),
                                               [](const auto& entry) { return entry.second > 1; }));
    for (const call_record& call : recorded.calls) {
        const bool reported_run = call.status != 0 && call.execution == execution_state::run;
        const bool key_executed =
            !call.idempotency_key.empty() && executed_ids.contains("key " + call.idempotency_key);
        if (reported_run && !key_executed && !executed_ids.contains(call.call_id)) {
            ++summary.lost;
        }
    }
}

void add_false_ejections(const load_result& result, load_summary& summary) {
    for (const std::string& target : result.ejected) {
        const bool scheduled = std::any_of(result.faults.begin(), result.faults.end(),
                                           [&](const auto& fault) { return fault.target == target; });
        if (!scheduled) {
            summary.false_ejections.push_back(target);
        }
    }
}

json::object counts_json(const std::map<std::string, std::size_t>& counts) {
    json::object object;
    for (const auto& [name, count] : counts) {
        object[name] = count;
    }
    return object;
}

std::string format_milliseconds(const std::optional<history_time>& time) {
    return time ? fmt::format("{:.0f} ms", static_cast<double>(*time) / 1'000) : "never";
}

}  // namespace

load_summary summarize(const load_options& options, const load_result& result,
                       std::vector<violation> violations) {
    load_summary summary;
    summary.violations = std::move(violations);
    const history_time measured_from =
        result.started + std::chrono::duration_cast<std::chrono::microseconds>(options.warm_up).count();
    std::map<std::string, std::vector<history_time>> times;
    std::size_t whole = 0;
    std::size_t good_answers = 0;
    for (const call_record& call : result.recorded.calls) {
        if (call.start < measured_from) {
            continue;
        }
        ++summary.calls;
        ++summary.errors[classify_error(call)];
        ++summary.executions[std::string(to_string(call.execution))];
        whole += call.whole ? 1 : 0;
        if (call.whole && call.status == 200 && call.body_matches) {
            ++good_answers;
            times["all"].push_back(call.end - call.start);
            times[call.service].push_back(call.end - call.start);
        }
    }
    const double seconds = std::max(1e-6, static_cast<double>(result.ended - measured_from) / 1e6);
    summary.offered_per_s = static_cast<double>(summary.calls) / seconds;
    summary.completed_per_s = static_cast<double>(whole) / seconds;
    summary.goodput_per_s = static_cast<double>(good_answers) / seconds;
    for (auto& [name, values] : times) {
        summary.latency.emplace(name, compute_latency(std::move(values)));
    }
    count_execution_violations(result.recorded, summary);
    for (const target_fault& fault : result.faults) {
        summary.detections.push_back(
            measure_detection_time(result.recorded, fault, measured_from, result.ended));
    }
    add_false_ejections(result, summary);
    return summary;
}

std::string format_text(const load_summary& summary) {
    std::string text =
        fmt::format("calls {}  offered {:.1f}/s  completed {:.1f}/s  goodput {:.1f}/s\n", summary.calls,
                    summary.offered_per_s, summary.completed_per_s, summary.goodput_per_s);
    for (const auto& [name, latency] : summary.latency) {
        text += fmt::format("latency {}: p50 {} us  p90 {} us  p99 {} us  p99.9 {} us  ({} calls)\n", name,
                            latency.p50, latency.p90, latency.p99, latency.p999, latency.calls);
    }
    for (const auto& [name, count] : summary.errors) {
        text += fmt::format("error {}: {}\n", name, count);
    }
    for (const auto& [name, count] : summary.executions) {
        text += fmt::format("execution {}: {}\n", name, count);
    }
    text += fmt::format("executions doubled: {}  lost: {}\n", summary.doubled, summary.lost);
    for (const detection_result& entry : summary.detections) {
        text += fmt::format("detection {}: {}{}\n", entry.target, format_milliseconds(entry.detected_after),
                            entry.first_bad_answer ? "" : " (no bad answer)");
    }
    for (const std::string& target : summary.false_ejections) {
        text += fmt::format("ejected without a scheduled fault: {}\n", target);
    }
    for (const violation& entry : summary.violations) {
        text += fmt::format("violation {}: {}\n", to_string(entry.violated), entry.detail);
    }
    return text + fmt::format("violations: {}\n", summary.violations.size());
}

std::string format_json(const load_summary& summary) {
    json::object latency;
    for (const auto& [name, value] : summary.latency) {
        latency[name] = json::object{{"calls", value.calls},
                                     {"p50_us", value.p50},
                                     {"p90_us", value.p90},
                                     {"p99_us", value.p99},
                                     {"p99_9_us", value.p999}};
    }
    json::array detections;
    for (const detection_result& entry : summary.detections) {
        json::object row{{"target", entry.target}, {"first_bad", entry.first_bad_answer.has_value()}};
        row["detected_after_us"] =
            entry.detected_after ? json::value(*entry.detected_after) : json::value(nullptr);
        detections.push_back(std::move(row));
    }
    json::array violations;
    for (const violation& entry : summary.violations) {
        violations.push_back(
            json::object{{"guarantee", to_string(entry.violated)}, {"detail", entry.detail}});
    }
    return json::serialize(json::object{{"calls", summary.calls},
                                        {"offered_per_s", summary.offered_per_s},
                                        {"completed_per_s", summary.completed_per_s},
                                        {"goodput_per_s", summary.goodput_per_s},
                                        {"latency", std::move(latency)},
                                        {"errors", counts_json(summary.errors)},
                                        {"executions", counts_json(summary.executions)},
                                        {"doubled", summary.doubled},
                                        {"lost", summary.lost},
                                        {"detections", std::move(detections)},
                                        {"false_ejections", json::value_from(summary.false_ejections)},
                                        {"violations", std::move(violations)}}) +
           "\n";
}

}  // namespace teaselpitch
