#include "modules/history/history_checker.h"

#include <algorithm>
#include <array>
#include <map>
#include <set>
#include <unordered_map>

namespace teaselpitch {
namespace {

using violations = std::vector<violation>;
using executions_by_call = std::unordered_map<std::string, std::vector<const execution_record*>>;

executions_by_call index_executions(const history& recorded) {
    executions_by_call index;
    for (const execution_record& run : recorded.executions) {
        index[run.call_id].push_back(&run);
    }
    return index;
}

void check_floor(const history& recorded, violations& found) {
    // Capacity lost for other reasons than ejection may cross the floor; then nothing may be ejected.
    constexpr double tolerance = 1e-6;
    for (const capacity_record& sample : recorded.capacities) {
        if (sample.ejected > 0 && sample.in_service + tolerance < sample.floor) {
            found.push_back({guarantee::floor, "node " + sample.node + " service " + sample.service + ": " +
                                                   std::to_string(sample.in_service) + " in service, floor " +
                                                   std::to_string(sample.floor) + ", ejected " +
                                                   std::to_string(sample.ejected)});
        }
    }
}

bool is_answer_of_target(const call_record& call) {
    return call.status != 0 && call.error.empty();
}

// A replayed answer was made for an earlier send of the same key.
bool answers_own_request(const call_record& call) {
    if (call.answer_for == call.call_id) {
        return true;
    }
    return !call.idempotency_key.empty() && call.answer_key == call.idempotency_key;
}

void check_answers(const history& recorded, violations& found) {
    for (const call_record& call : recorded.calls) {
        if (!call.whole || !is_answer_of_target(call)) {
            continue;
        }
        if (!answers_own_request(call)) {
            found.push_back(
                {guarantee::whole_answer, "call " + call.call_id + " got the answer for " + call.answer_for});
        } else if (!call.body_matches) {
            found.push_back({guarantee::whole_answer,
                             "call " + call.call_id + " got a body that differs from the answer"});
        }
    }
}

void check_not_run(const history& recorded, const executions_by_call& executions, violations& found) {
    for (const call_record& call : recorded.calls) {
        const bool told_not_run = call.status != 0 && call.execution == execution_state::not_run;
        if (told_not_run && executions.contains(call.call_id)) {
            found.push_back({guarantee::not_run_is_true, "call " + call.call_id + " was told not-run (" +
                                                             call.error + ") and ran at " +
                                                             executions.at(call.call_id).front()->target});
        }
    }
}

void check_at_most_once(const history& recorded, violations& found) {
    std::set<std::string> unsafe_calls;
    for (const call_record& call : recorded.calls) {
        if (call.non_idempotent) {
            unsafe_calls.insert(call.call_id);
        }
    }
    std::map<std::string, std::size_t> runs;
    for (const execution_record& run : recorded.executions) {
        if (unsafe_calls.contains(run.call_id)) {
            ++runs[run.idempotency_key.empty() ? "call " + run.call_id : "key " + run.idempotency_key];
        }
    }
    for (const auto& [name, count] : runs) {
        if (count > 1) {
            found.push_back({guarantee::at_most_once, name + " ran " + std::to_string(count) + " times"});
        }
    }
}

// An answer "run" without an execution is as false as "not-run" with one.
void check_run_claims(const history& recorded, const executions_by_call& executions, violations& found) {
    std::set<std::string> executed_keys;
    for (const execution_record& run : recorded.executions) {
        if (!run.idempotency_key.empty()) {
            executed_keys.insert(run.idempotency_key);
        }
    }
    for (const call_record& call : recorded.calls) {
        if (call.status == 0 || call.execution != execution_state::run) {
            continue;
        }
        const bool key_ran = !call.idempotency_key.empty() && executed_keys.contains(call.idempotency_key);
        if (!key_ran && !executions.contains(call.call_id)) {
            found.push_back(
                {guarantee::whole_answer, "call " + call.call_id + " was told run and has no execution"});
        }
    }
}

void check_leaving(const history& recorded, const history_limits& limits, violations& found) {
    for (const leave_record& leave : recorded.leaves) {
        for (const execution_record& run : recorded.executions) {
            if (run.target == leave.name && run.start > leave.announced + limits.leaving.count()) {
                found.push_back({guarantee::no_work_after_leaving,
                                 "target " + leave.name + " started call " + run.call_id + " " +
                                     std::to_string(run.start - leave.announced) + " us after it announced"});
            }
        }
    }
}

void check_graceful_stop(const history& recorded, violations& found) {
    std::unordered_map<std::string, const call_record*> calls;
    for (const call_record& call : recorded.calls) {
        calls.emplace(call.call_id, &call);
    }
    for (const leave_record& leave : recorded.leaves) {
        for (const execution_record& run : recorded.executions) {
            const bool in_flight = run.target == leave.name && run.start <= leave.announced &&
                                   (run.end == 0 || run.end >= leave.announced);
            if (!in_flight) {
                continue;
            }
            const auto call = calls.find(run.call_id);
            const bool answered = call == calls.end() || call->second->whole;
            if (!run.completed || !answered) {
                found.push_back(
                    {guarantee::graceful_stop, "target " + leave.name + " cut call " + run.call_id});
            }
        }
    }
}

void check_versions_never_go_back(const history& recorded, violations& found) {
    std::vector<version_record> ordered = recorded.versions;
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto& left, const auto& right) { return left.when < right.when; });
    std::map<std::string, std::uint64_t> latest;
    for (const version_record& entry : ordered) {
        std::uint64_t& known = latest[entry.node];
        if (entry.version < known) {
            found.push_back({guarantee::versions, "node " + entry.node + " went back from version " +
                                                      std::to_string(known) + " to " +
                                                      std::to_string(entry.version)});
        }
        known = std::max(known, entry.version);
    }
}

// A node that reported after the limit must have reported at least the accepted version.
void check_versions_in_force(const history& recorded, const history_limits& limits, violations& found) {
    for (const accepted_edit_record& edit : recorded.accepted_edits) {
        for (const version_record& entry : recorded.versions) {
            if (entry.when > edit.when + limits.in_force.count() && entry.version < edit.version) {
                found.push_back({guarantee::versions, "node " + entry.node + " served version " +
                                                          std::to_string(entry.version) + " after version " +
                                                          std::to_string(edit.version) + " was due"});
            }
        }
    }
}

}  // namespace

std::string_view to_string(guarantee value) {
    constexpr std::array<std::string_view, 7> names{
        "floor",         "whole_answer", "not_run_is_true", "at_most_once", "no_work_after_leaving",
        "graceful_stop", "versions"};
    return names[static_cast<std::size_t>(value)];
}

std::vector<violation> history_checker::check(const history& recorded) const {
    violations found;
    const executions_by_call executions = index_executions(recorded);
    check_floor(recorded, found);
    check_answers(recorded, found);
    check_run_claims(recorded, executions, found);
    check_not_run(recorded, executions, found);
    check_at_most_once(recorded, found);
    check_leaving(recorded, limits_, found);
    check_graceful_stop(recorded, found);
    check_versions_never_go_back(recorded, found);
    if (limits_.check_in_force) {
        check_versions_in_force(recorded, limits_, found);
    }
    return found;
}

}  // namespace teaselpitch
