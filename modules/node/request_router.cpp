#include "modules/node/request_router.h"

#include <fmt/format.h>

#include <utility>

#include "core/event_log.h"
#include "servers/admission/account_check.h"

namespace teaselpitch {
namespace {

path_outcome path_outcome_of(const exchange_result& result) {
    // Only the gate sends a load report, so the path and the gate work, whatever the outcome at the target.
    if (result.load || result.error == error_kind::none) {
        return path_outcome::answered;
    }
    switch (result.error) {
        case error_kind::peer_unreachable:
            return path_outcome::unreachable;
        case error_kind::outcome_unknown:
            return path_outcome::connection_lost;
        case error_kind::answer_broken:
            return path_outcome::answer_broken;
        case error_kind::target_timeout:
            return path_outcome::gate_overdue;
        default:
            return path_outcome::answered;
    }
}

double milliseconds(std::chrono::nanoseconds value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Returns the position of a request in a weighted traffic split, in [0, 1). It is derived from the request
/// id, so that every node makes the same choice.
double split_position(const request_head& head) {
    constexpr unsigned mantissa_bits = 53;
    return static_cast<double>(stable_hash(head.request_id) >> (64U - mantissa_bits)) * 0x1.0p-53;
}

}  // namespace

refusal request_router::check_ready() const {
    if (context_.has_configuration) {
        return {};
    }
    return {error_kind::not_ready, "the node has no configuration yet", std::nullopt};
}

std::optional<route_decision> request_router::find_route(const request_head& head) const {
    const auto routing = context_.routing.read();
    const auto match = routing->routes().find(head.host, head.path, head.method);
    if (!match) {
        return std::nullopt;
    }
    route_decision decision;
    decision.service =
        match->split.empty() ? match->service : select_part(match->split, split_position(head)).service;
    decision.non_idempotent = match->non_idempotent;
    decision.timeout = routing->timeout_of(*match);
    decision.attempts = match->attempts;
    decision.objective = match->objective;
    decision.rank = match->priority;
    decision.is_public = match->is_public;
    decision.inherited_retry = context_.targets.retry_share();
    decision.work_class = stable_hash(match->path_prefix, stable_hash(head.host));
    return decision;
}

refusal request_router::check_account(const request_head& received, const route_decision& route,
                                      request_head& head) {
    const auto routing = context_.routing.read();
    const account_directory& accounts = routing->accounts();
    if (accounts.empty()) {
        return {};
    }
    // The route of a waiting request may have changed since it was found. One that was removed is still
    // served.
    const auto match = routing->routes().find(head.host, head.path, head.method);
    const bool is_public = match ? match->is_public : route.is_public;
    key_check checked = check_key(accounts, context_.dialect, received.headers);
    if (checked.verdict != key_verdict::missing && !context_.account_keys.accepts_keys()) {
        if (!is_public) {
            return {error_kind::log_unavailable,
                    "the node may have missed that a key was withdrawn and accepts none", std::nullopt};
        }
        checked.account = nullptr;
    }
    set_account(context_.dialect, received, checked.account, head);
    const std::uint32_t route_rank = match ? match->priority : route.rank;
    head.rank = checked.account == nullptr ? route_rank : checked.account->rank.value_or(route_rank);
    if (checked.account != nullptr || is_public) {
        return {};
    }
    context_.metrics.count_unauthenticated(to_string(checked.verdict));
    return {error_kind::unauthenticated, std::string(describe(checked.verdict)), std::nullopt};
}

refusal request_router::admit_while_stopping(const request_head& head) const {
    const steady_time now = context_.clock.now();
    const std::optional<drain_schedule> schedule = context_.stop_schedule();
    if (!schedule || schedule->accepts(now, head.deadline)) {
        return {};
    }
    return {error_kind::node_draining, "the node stops before the request could be finished",
            std::chrono::duration_cast<std::chrono::milliseconds>(schedule->exit_by - now)};
}

refusal request_router::admit(const request_head& head) {
    if (context_.targets.quarantine().is_quarantined(head.fingerprint)) {
        return {error_kind::quarantined, "requests with the same fingerprint crashed several targets",
                std::nullopt};
    }
    const limit_decision limited = context_.accounts.admit(head.account, head.service);
    if (!limited.admitted) {
        return {error_kind::account_limited, "account " + head.account + " exceeds its request rate limit",
                limited.retry_after};
    }
    return {};
}

choice_or_refusal<route_choice> request_router::choose(const request_head& head,
                                                       std::span<const std::string> tried) {
    choice_or_refusal<route_choice> result;
    const auto router = context_.services.find(head.service);
    if (!router) {
        result.refused = {error_kind::no_target, "no target of the service has announced itself",
                          std::nullopt};
        return result;
    }
    std::optional<expected_work> work;
    if (context_.costs) {
        work = context_.costs->expected_work_of(head);
    }
    target_choice chosen = router->choose(tried, work);
    if (!chosen.target) {
        result.refused = {chosen.error, "no target of the service can accept the request", std::nullopt};
        return result;
    }
    route_choice route;
    route.target = chosen.target->target();
    route.node = chosen.target->node();
    route.local = route.node == context_.self.name;
    route.reason = chosen.expected_ms ? "earliest_completion_of_two" : "least_loaded_of_two";
    route.expected_ms = chosen.expected_ms;
    if (context_.costs && chosen.expected_ms) {
        context_.costs->count_choice(chosen.target->zone() == context_.settings.availability_zone);
    }
    route.suspect = chosen.suspect;
    route.in_flight_guard = std::make_shared<chosen_target>(std::move(*chosen.target));
    const auto nodes = context_.nodes.read();
    const auto address = nodes->find(route.node);
    if (address != nodes->end()) {
        route.peer = address->second.peer;
    } else if (!route.local) {
        result.refused = {error_kind::no_target, "the node of the chosen target is not in the membership",
                          std::nullopt};
        return result;
    }
    result.choice = std::move(route);
    return result;
}

bool request_router::may_retry(const request_head& head, const exchange_result& result,
                               std::uint32_t attempts) {
    const auto router = context_.services.find(head.service);
    if (!router) {
        return false;
    }
    failed_attempt attempt;
    attempt.error = is_server_error_answer(result) ? error_kind::answer_broken : result.error;
    // With a fleet-wide retry budget, the gate of the next target decides instead, because it counts the
    // requests that reach the target.
    attempt.reached_target = reached_target(result) && !context_.settings.fleet_retries;
    attempt.execution = result.execution;
    attempt.head_written = result.head_written;
    attempt.non_idempotent = head.non_idempotent;
    attempt.attempts = attempts;
    attempt.deadline = head.deadline;
    return router->retries().on_failure(attempt).retry;
}

void request_router::attempt_ended(const attempt_report& report) {
    context_.metrics.count_attempt(report.head.service, report.result.error);
    const auto router = context_.services.find(report.head.service);
    if (!router) {
        return;
    }
    if (report.result.load) {
        router->on_load(*report.result.load);
        if (context_.costs) {
            apply_cost(report, *router);
        }
    }
    if (!report.choice.local) {
        assess_path(report, *router);
    }
}

void request_router::apply_cost(const attempt_report& report, service_router& router) {
    const load_report& load = *report.result.load;
    if (load.run_time.count() <= 0) {
        return;
    }
    context_.costs->count_completion(report.choice.expected_ms, report.latency);
    // The local gate has already learned from this run.
    if (!report.choice.local) {
        context_.costs->estimator().learn(make_work_key(report.head), load.run_time);
        if (load.gate_time.count() > 0 && report.latency > load.gate_time) {
            router.on_transfer(load.target, report.latency - load.gate_time);
        }
    }
}

void request_router::assess_path(const attempt_report& report, service_router& router) {
    const path_outcome outcome = path_outcome_of(report.result);
    const std::string& target = report.choice.target.name;
    // Each attempt gets a unique connection id. The path fault detector can merge the failures of one
    // connection only when the transport identifies it.
    context_.path_detector.on_result(target, report.choice.node, context_.next_ticket.fetch_add(1), outcome);
    router.on_path_score(target, context_.path_detector.target_outlier_score(target));
    router.on_node_path_score(report.choice.node,
                              context_.path_detector.node_outlier_score(report.choice.node));
}

void request_router::exchange_ended(const ingress_report& report) {
    const request_head& head = report.head;
    const auto router = context_.services.find(head.service);
    if (router && report.result.error == error_kind::none) {
        router->retries().on_success();
    }
    context_.metrics.count_request(head.service, report.result.error, report.latency);
    const auto objective = context_.routing.read()->latency_objective_of(head.service);
    context_.outcomes.add(
        head.service, context_.settings.availability_zone,
        classify_outcome(report.result.error, report.http_status, report.latency, objective));
    log_request(report);
    record_request(report);
}

// Logs every failed request and about 1 in 64 of the others, so that the log volume stays limited under load.
void request_router::log_request(const ingress_report& report) {
    constexpr std::uint64_t log_interval = 64;
    constexpr unsigned first_server_error = 500;
    const bool failed = report.result.error != error_kind::none || report.http_status >= first_server_error;
    if (!failed && stable_hash(report.head.request_id) % log_interval != 0) {
        return;
    }
    std::string attempts;
    for (const std::string& attempt : report.attempts) {
        attempts += (attempts.empty() ? "" : "; ") + attempt;
    }
    const auto remaining = report.head.deadline - context_.clock.now();
    log_event(event_level::info, "request",
              {{"request_id", report.head.request_id},
               {"service", report.head.service},
               {"rank", report.head.rank},
               {"non_idempotent", report.head.non_idempotent},
               {"outcome", get_error_answer(report.result.error).name},
               {"status", report.http_status},
               {"execution", to_string(report.result.execution)},
               {"latency_ms", milliseconds(report.latency)},
               {"left_ms", milliseconds(remaining)},
               {"table_version", context_.routing.read()->rows().version()},
               {"detail", report.result.detail},
               {"attempts", attempts}});
}

void request_router::record_request(const ingress_report& report) {
    decision_record record;
    record.subject = decision_subject::request;
    record.id = report.head.request_id;
    record.service = report.head.service;
    record.decision = std::string(get_error_answer(report.result.error).name);
    record.rule = report.result.detail;
    record.evidence = {{"status", std::to_string(report.http_status)},
                       {"execution", std::string(to_string(report.result.execution))},
                       {"latency_ms", fmt::format("{:.3f}", milliseconds(report.latency))},
                       {"fingerprint", std::to_string(report.head.fingerprint)}};
    for (const std::string& attempt : report.attempts) {
        record.evidence.push_back({"attempt", attempt});
    }
    context_.decisions.add(std::move(record));
}

}  // namespace teaselpitch
