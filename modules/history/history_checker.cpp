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
    for (const execution_record& execution : recorded.executions) {
        index[execution.call_id].push_back(&execution);
    }
    return index;
}

void check_capacity_floor(const history& recorded, violations& found) {
    // Capacity may fall below the floor for reasons other than ejection. In that case nothing may be ejected.
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

bool is_target_answer(const call_record& call) {
    return call.status != 0 && call.error.empty();
}

// A replayed answer has the call id of an earlier send with the same key.
bool answer_matches_request(const call_record& call) {
    if (call.answer_for == call.call_id) {
        return true;
    }
    return !call.idempotency_key.empty() && call.answer_key == call.idempotency_key;
}

void check_answers(const history& recorded, violations& found) {
    for (const call_record& call : recorded.calls) {
        if (!call.whole || !is_target_answer(call)) {
            continue;
        }
        if (!answer_matches_request(call)) {
            found.push_back(
                {guarantee::whole_answer, "call " + call.call_id + " got the answer for " + call.answer_for});
        } else if (!call.body_matches) {
            found.push_back({guarantee::whole_answer,
                             "call " + call.call_id + " got a body that differs from the expected one"});
        }
    }
}

void check_not_run(const history& recorded, const executions_by_call& executions, violations& found) {
    for (const call_record& call : recorded.calls) {
        const bool reported_not_run = call.status != 0 && call.execution == execution_state::not_run;
        if (reported_not_run && executions.contains(call.call_id)) {
            found.push_back({guarantee::not_run_is_true,
                             "call " + call.call_id + " was reported as not-run (" + call.error +
                                 ") but was executed at " + executions.at(call.call_id).front()->target});
        }
    }
}

void check_at_most_once(const history& recorded, violations& found) {
    std::set<std::string> non_idempotent_calls;
    for (const call_record& call : recorded.calls) {
        if (call.non_idempotent) {
            non_idempotent_calls.insert(call.call_id);
        }
    }
    std::map<std::string, std::size_t> execution_counts;
    for (const execution_record& execution : recorded.executions) {
        if (non_idempotent_calls.contains(execution.call_id)) {
            ++execution_counts[execution.idempotency_key.empty() ? "call " + execution.call_id
                                                                 : "key " + execution.idempotency_key];
        }
    }
    for (const auto& [name, count] : execution_counts) {
        if (count > 1) {
            found.push_back(
                {guarantee::at_most_once, name + " was executed " + std::to_string(count) + " times"});
        }
    }
}

// An answer that reports "run" without an execution is as wrong as one that reports "not-run" with an
// execution.
void check_reported_executions(const history& recorded, const executions_by_call& executions,
                               violations& found) {
    std::set<std::string> executed_keys;
    for (const execution_record& execution : recorded.executions) {
        if (!execution.idempotency_key.empty()) {
            executed_keys.insert(execution.idempotency_key);
        }
    }
    for (const call_record& call : recorded.calls) {
        if (call.status == 0 || call.execution != execution_state::run) {
            continue;
        }
        const bool key_executed =
            !call.idempotency_key.empty() && executed_keys.contains(call.idempotency_key);
        if (!key_executed && !executions.contains(call.call_id)) {
            found.push_back({guarantee::whole_answer,
                             "call " + call.call_id + " was reported as run but no target executed it"});
        }
    }
}

void check_no_work_after_leaving(const history& recorded, const history_limits& limits, violations& found) {
    for (const leave_record& leave : recorded.leaves) {
        for (const execution_record& execution : recorded.executions) {
            if (execution.target == leave.name &&
                execution.start > leave.announced + limits.leaving_limit.count()) {
                found.push_back({guarantee::no_work_after_leaving,
                                 "target " + leave.name + " started call " + execution.call_id + " " +
                                     std::to_string(execution.start - leave.announced) +
                                     " us after announcing that it leaves"});
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
        for (const execution_record& execution : recorded.executions) {
            const bool in_flight = execution.target == leave.name && execution.start <= leave.announced &&
                                   (execution.end == 0 || execution.end >= leave.announced);
            if (!in_flight) {
                continue;
            }
            const auto call = calls.find(execution.call_id);
            const bool answered = call == calls.end() || call->second->whole;
            if (!execution.completed || !answered) {
                found.push_back({guarantee::graceful_stop,
                                 "target " + leave.name + " did not complete call " + execution.call_id});
            }
        }
    }
}

void check_versions_never_decrease(const history& recorded, violations& found) {
    std::vector<version_record> ordered = recorded.versions;
    std::stable_sort(ordered.begin(), ordered.end(),
                     [](const auto& left, const auto& right) { return left.when < right.when; });
    std::map<std::string, std::uint64_t> highest_versions;
    for (const version_record& entry : ordered) {
        std::uint64_t& highest_version = highest_versions[entry.node];
        if (entry.version < highest_version) {
            found.push_back({guarantee::versions, "node " + entry.node + " went back from version " +
                                                      std::to_string(highest_version) + " to " +
                                                      std::to_string(entry.version)});
        }
        highest_version = std::max(highest_version, entry.version);
    }
}

// Every report later than the limit after an accepted edit must have at least the version of that edit.
void check_versions_in_force(const history& recorded, const history_limits& limits, violations& found) {
    for (const accepted_edit_record& edit : recorded.accepted_edits) {
        for (const version_record& entry : recorded.versions) {
            if (entry.when > edit.when + limits.in_force_limit.count() && entry.version < edit.version) {
                found.push_back({guarantee::versions, "node " + entry.node + " served version " +
                                                          std::to_string(entry.version) + " after version " +
                                                          std::to_string(edit.version) +
                                                          " had to be in force"});
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
    check_capacity_floor(recorded, found);
    check_answers(recorded, found);
    check_reported_executions(recorded, executions, found);
    check_not_run(recorded, executions, found);
    check_at_most_once(recorded, found);
    check_no_work_after_leaving(recorded, limits_, found);
    check_graceful_stop(recorded, found);
    check_versions_never_decrease(recorded, found);
    if (limits_.check_in_force) {
        check_versions_in_force(recorded, limits_, found);
    }
    return found;
}

}  // namespace teaselpitch
