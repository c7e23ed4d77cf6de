#include "modules/node/service_router.h"

#include <fmt/format.h>

#include <utility>

#include "core/event_log.h"

namespace teaselpitch {
namespace {

decision_evidence evidence_value(std::string name, double value) {
    return {std::move(name), fmt::format("{:.3g}", value)};
}

decision_record to_record(const std::string& service, const ejector_decision& decision) {
    decision_record record;
    record.subject = decision_subject::target;
    record.id = decision.target.name;
    record.service = service;
    record.decision = std::string(to_string(decision.action));
    record.rule = decision.reason;
    record.evidence = {evidence_value("share", decision.share),
                       evidence_value("badness", decision.outlier_score.total),
                       evidence_value("gate", decision.outlier_score.gate),
                       evidence_value("path", decision.outlier_score.path),
                       evidence_value("hints", decision.outlier_score.hints),
                       {"agreeing_zones", std::to_string(decision.outlier_score.agreeing_zones)}};
    return record;
}

}  // namespace

service_router::service_router(const time_source& clock, std::string service, chooser_options options,
                               std::uint64_t seed, decision_log& decisions,
                               std::function<void()> shares_changed, retry_options retries)
    : service_(std::move(service)),
      decisions_(decisions),
      shares_changed_(std::move(shares_changed)),
      ejector_(clock, ejector_options{.states = {.warm_up = options.warm_up}}),
      chooser_(clock, std::move(options), seed),
      retries_(clock, retries),
      node_by_target_(std::make_shared<const name_map<std::string>>()) {}

void service_router::on_targets(std::vector<registered_target> targets) {
    auto nodes = std::make_shared<name_map<std::string>>();
    {
        const std::lock_guard lock(mutex_);
        for (registered_target& target : targets) {
            target.weight = rule_of(target.zone).weight;
            (*nodes)[target.identity.name] = target.node;
        }
        targets_ = targets;
    }
    node_by_target_.update(std::move(nodes));
    publish_decisions(ejector_.replace_targets(targets));
    refreshed_version_ = 0;
    refresh();
}

void service_router::on_rules(const service_rules& rules) {
    std::vector<floor_rule> floors;
    std::vector<registered_target> targets;
    {
        const std::lock_guard lock(mutex_);
        rules_ = rules;
        for (const service_rules::zone_rule& rule : rules.zones) {
            floors.push_back({.zone = rule.zone, .capacity = 0, .share = rule.floor_share});
        }
        targets = targets_;
    }
    retries_.set_budget_share(rules.retry_budget_share);
    publish_decisions(ejector_.replace_floors(std::move(floors)));
    on_targets(std::move(targets));
}

void service_router::on_tick() {
    publish_decisions(ejector_.on_tick());
    refresh();
}

void service_router::refresh() {
    const std::uint64_t version = ejector_.version() + 1;
    if (version == refreshed_version_) {
        return;
    }
    refreshed_version_ = version;
    std::vector<zone_limit> limits;
    {
        const std::lock_guard lock(mutex_);
        for (const service_rules::zone_rule& rule : rules_.zones) {
            if (!rule.zone.empty() && rule.limit > 0) {
                limits.push_back({rule.zone, rule.limit});
            }
        }
    }
    chooser_.update(choosable_targets(), limits);
}

void service_router::on_load(const load_report& report) {
    chooser_.on_load_report(report);
    publish_decisions(ejector_.on_gate_verdict(report.target, report.outlier_score, true));
}

void service_router::on_path_score(std::string_view target, double outlier_score) {
    publish_decisions(ejector_.on_path_evidence(target, outlier_score));
}

void service_router::on_node_path_score(std::string_view node, double outlier_score) {
    publish_decisions(ejector_.on_node_path_evidence(node, outlier_score));
}

void service_router::on_hint(std::string_view target, std::string_view origin_node,
                             std::string_view origin_zone, double outlier_score) {
    publish_decisions(ejector_.on_hint(target, origin_node, origin_zone, outlier_score));
}

void service_router::on_gossiped_verdict(std::string_view target, double outlier_score) {
    publish_decisions(ejector_.on_gate_verdict(target, outlier_score, false));
}

std::string service_router::node_of(std::string_view target) const {
    const auto nodes = node_by_target_.read();
    const auto found = nodes->find(target);
    return found == nodes->end() ? std::string() : found->second;
}

std::vector<registered_target> service_router::targets() const {
    const std::lock_guard lock(mutex_);
    return targets_;
}

void service_router::publish_decisions(const std::vector<ejector_decision>& decisions) {
    for (const ejector_decision& decision : decisions) {
        log_event(event_level::info, "target_share",
                  {{"service", service_},
                   {"target", decision.target.name},
                   {"action", to_string(decision.action)},
                   {"share", decision.share},
                   {"badness", decision.outlier_score.total},
                   {"reason", decision.reason}});
        decisions_.add(to_record(service_, decision));
    }
    if (!decisions.empty()) {
        shares_changed_();
    }
}

const service_rules::zone_rule& service_router::rule_of(std::string_view zone) const {
    static const service_rules::zone_rule no_rule;
    const service_rules::zone_rule* fallback = &no_rule;
    for (const service_rules::zone_rule& rule : rules_.zones) {
        if (rule.zone == zone) {
            return rule;
        }
        if (rule.zone.empty()) {
            fallback = &rule;
        }
    }
    return *fallback;
}

std::vector<target_candidate> service_router::choosable_targets() const {
    name_map<target_share> shares;
    for (target_share& share : ejector_.shares()) {
        const std::string name = share.target.name;
        shares.emplace(name, std::move(share));
    }
    std::vector<target_candidate> result;
    const std::lock_guard lock(mutex_);
    for (const registered_target& target : targets_) {
        const auto share = shares.find(target.identity.name);
        if (share == shares.end()) {
            continue;
        }
        result.push_back({.identity = target.identity,
                          .node = target.node,
                          .zone = target.zone,
                          .slots = target.slots,
                          .weight = target.weight,
                          .share = share->second.share,
                          .outlier_score = share->second.outlier_score,
                          .accepts_requests = target.lifecycle == target_lifecycle::ready,
                          .ready_since = target.ready_since});
    }
    return result;
}

}  // namespace teaselpitch
