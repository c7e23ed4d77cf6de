#pragma once

#include <map>
#include <string>
#include <vector>

#include "main/load/load_options.h"
#include "main/load/load_run.h"
#include "modules/history/history_checker.h"

namespace teaselpitch {

/// Latency percentiles in microseconds.
struct latency_summary {
    std::size_t calls = 0;
    history_time p50 = 0;
    history_time p90 = 0;
    history_time p99 = 0;
    history_time p999 = 0;
};

struct load_summary {
    std::size_t calls = 0;
    double offered_per_s = 0;
    double completed_per_s = 0;  ///< Complete answers of any status.
    double goodput_per_s = 0;    ///< Complete answers with status 200 and the expected body.
    std::map<std::string, latency_summary> latency;  ///< By service, and "all" for the sum.
    std::map<std::string, std::size_t> errors;       ///< By error kind, "status-N" or "no-answer".
    std::map<std::string, std::size_t> executions;   ///< By execution state.
    std::size_t doubled = 0;                         ///< Non-idempotent requests that ran more than once.
    std::size_t lost = 0;                            ///< Calls reported as "run" that no target executed.
    std::vector<detection_result> detections;
    std::vector<std::string> false_ejections;
    std::vector<violation> violations;
};

load_summary summarize(const load_options& options, const load_result& result,
                       std::vector<violation> violations);

std::string format_text(const load_summary& summary);
std::string format_json(const load_summary& summary);

}  // namespace teaselpitch
