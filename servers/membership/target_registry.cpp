#include "servers/membership/target_registry.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds sweep_interval{10'000};
// A gossiped quarantine carries its remaining time, which is outdated by the time spent in queues. Only an
// end that is later by more than this is an extension.
constexpr std::chrono::milliseconds quarantine_slack{30'000};

std::uint64_t entry_hash(std::string_view name, std::uint64_t incarnation, std::uint64_t sequence) {
    constexpr std::uint64_t multiplier = 0x9e3779b97f4a7c15;
    return stable_hash(name, incarnation * multiplier + sequence);
}

void remove_from(std::vector<std::uint32_t>& list, std::uint32_t index) {
    const auto found = std::find(list.begin(), list.end(), index);
    if (found != list.end()) {
        *found = list.back();
        list.pop_back();
    }
}

}  // namespace

target_registry::target_registry(const time_source& clock, node_identity self,
                                 target_registry_options options, target_registry_hooks hooks)
    : clock_(clock),
      self_(std::move(self)),
      options_(options),
      hooks_(std::move(hooks)),
      next_sweep_(clock.now() + sweep_interval) {
    on_node_state(self_, true);
}

std::uint32_t target_registry::find_or_add_node(std::string_view name) {
    const auto [found, added] =
        node_indexes_.try_emplace(std::string(name), static_cast<std::uint32_t>(nodes_.size()));
    if (added) {
        nodes_.push_back({{std::string(name), 0}, false, clock_.now(), {}});
    }
    return found->second;
}

std::uint32_t target_registry::find_or_add_service(std::string_view name) {
    const auto [found, added] =
        service_indexes_.try_emplace(std::string(name), static_cast<std::uint32_t>(services_.size()));
    if (added) {
        services_.push_back({std::string(name), {}});
    }
    return found->second;
}

std::uint32_t target_registry::find_or_add_record(std::string_view name) {
    const auto found = record_indexes_.find(name);
    if (found != record_indexes_.end()) {
        return found->second;
    }
    std::uint32_t index = static_cast<std::uint32_t>(records_.size());
    if (free_records_.empty()) {
        records_.emplace_back();
    } else {
        index = free_records_.back();
        free_records_.pop_back();
    }
    record& entry = records_[index];
    entry = record{};
    entry.name = name;
    entry.leaf = static_cast<std::uint16_t>(state_digest::leaf_of(stable_hash(name)));
    record_indexes_.emplace(std::string_view(entry.name), index);
    return index;
}

bool target_registry::is_visible(const record& entry) const {
    const node_entry& node = nodes_[entry.node];
    return entry.used && entry.state != announced_state::gone && node.running &&
           node.identity.incarnation == entry.node_incarnation;
}

void target_registry::add_if_visible(std::uint32_t index) {
    const record& entry = records_[index];
    if (is_visible(entry)) {
        ++visible_count_;
        digest_.toggle(stable_hash(entry.name), entry_hash(entry.name, entry.incarnation, entry.sequence));
    }
}

void target_registry::remove_if_visible(std::uint32_t index) {
    const record& entry = records_[index];
    if (is_visible(entry)) {
        --visible_count_;
        digest_.toggle(stable_hash(entry.name), entry_hash(entry.name, entry.incarnation, entry.sequence));
    }
}

void target_registry::add_to_indexes(std::uint32_t index) {
    nodes_[records_[index].node].targets.push_back(index);
    services_[records_[index].service].targets.push_back(index);
}

void target_registry::remove_from_indexes(std::uint32_t index) {
    remove_from(nodes_[records_[index].node].targets, index);
    remove_from(services_[records_[index].service].targets, index);
}

void target_registry::erase_record(std::uint32_t index) {
    remove_if_visible(index);
    remove_from_indexes(index);
    record_indexes_.erase(records_[index].name);
    records_[index] = record{};
    free_records_.push_back(index);
}

void target_registry::notify_change(std::uint32_t index) const {
    if (hooks_.on_change) {
        hooks_.on_change(view_of(records_[index]));
    }
}

bool target_registry::apply(const wire::Fact& fact) {
    switch (fact.fact_case()) {
        case wire::Fact::kTarget:
            return apply_target(fact.target());
        case wire::Fact::kVerdict:
            return apply_verdict(fact.verdict());
        case wire::Fact::kQuarantine:
            return apply_quarantine(fact.quarantine());
        case wire::Fact::kCrash:
            return apply_crash(fact.crash());
        case wire::Fact::kSuccess:
            return apply_success(fact.success());
        default:
            return false;
    }
}

void target_registry::update_record(record& entry, const wire::TargetFact& fact) {
    entry.incarnation = fact.incarnation();
    entry.sequence = fact.sequence();
    entry.node_incarnation = fact.node_incarnation();
    entry.ready_since = clock_.now() - std::chrono::milliseconds(fact.ready_age_ms());
    entry.service = find_or_add_service(fact.service());
    entry.node = find_or_add_node(fact.node());
    entry.slots = fact.slots();
    entry.state = static_cast<announced_state>(fact.state());
    entry.departed = fact.departed();
    entry.used = true;
}

bool target_registry::apply_target(const wire::TargetFact& fact) {
    if (fact.name().empty() || fact.service().empty() || fact.node().empty() ||
        !wire::TargetFact::State_IsValid(fact.state())) {
        return false;
    }
    const std::uint32_t index = find_or_add_record(fact.name());
    record& entry = records_[index];
    if (entry.used) {
        if (std::tuple(fact.incarnation(), fact.departed(), fact.sequence()) <=
            std::tuple(entry.incarnation, entry.departed, entry.sequence)) {
            report_departure(entry, fact);
            return false;
        }
        remove_if_visible(index);
        remove_from_indexes(index);
    }
    update_record(entry, fact);
    add_to_indexes(index);
    add_if_visible(index);
    if (entry.state == announced_state::gone || entry.departed) {
        tombstones_.push_back({index, entry.sequence, clock_.now()});
    }
    notify_change(index);
    return true;
}

void target_registry::report_departure(const record& known, const wire::TargetFact& outdated) const {
    if (known.departed && !outdated.departed() && known.incarnation == outdated.incarnation() &&
        outdated.sequence() > known.sequence && hooks_.on_departed_announced) {
        hooks_.on_departed_announced(outdated.node(), fact_of(known));
    }
}

bool target_registry::apply_verdict(const wire::VerdictFact& fact) {
    auto& existing = verdicts_[fact.target() + "/" + fact.origin_node()];
    if (fact.sequence() <= existing.first) {
        return false;
    }
    existing = {fact.sequence(), clock_.now()};
    if (hooks_.on_verdict) {
        hooks_.on_verdict(fact);
    }
    return true;
}

bool target_registry::apply_quarantine(const wire::QuarantineFact& fact) {
    const steady_time end = clock_.now() + std::chrono::milliseconds(fact.remaining_ms());
    const auto [existing, added] = quarantines_.try_emplace(fact.fingerprint(), end);
    if (!added && end <= existing->second + quarantine_slack) {
        return false;
    }
    existing->second = end;
    if (hooks_.on_quarantine) {
        hooks_.on_quarantine(fact);
    }
    return true;
}

bool target_registry::apply_crash(const wire::CrashFact& fact) {
    const std::string key = fact.origin_node() + "/" + std::to_string(fact.origin_incarnation()) + "/" +
                            std::to_string(fact.sequence());
    if (fact.origin_node() == self_.name || !crashes_.try_emplace(key, clock_.now()).second) {
        return false;
    }
    if (hooks_.on_crash) {
        hooks_.on_crash(fact);
    }
    return true;
}

bool target_registry::apply_success(const wire::SuccessFact& fact) {
    if (fact.origin_node() == self_.name) {
        return false;
    }
    auto& existing = successes_[std::to_string(fact.fingerprint()) + "/" + fact.origin_node() + "/" +
                                std::to_string(fact.origin_incarnation())];
    if (fact.sequence() <= existing.first) {
        return false;
    }
    existing = {fact.sequence(), clock_.now()};
    if (hooks_.on_success) {
        hooks_.on_success(fact);
    }
    return true;
}

absl::StatusOr<std::optional<wire::Fact>> target_registry::announce(const target_announcement& announcement) {
    if (announcement.identity.name.empty() || announcement.service.empty() || announcement.slots == 0 ||
        announcement.state == announced_state::gone) {
        return absl::InvalidArgumentError(
            "the announcement lacks a target name, a service or slots, or its state is gone");
    }
    const auto found = record_indexes_.find(announcement.identity.name);
    const record* existing = found == record_indexes_.end() ? nullptr : &records_[found->second];
    if (existing != nullptr && existing->incarnation > announcement.identity.incarnation) {
        return absl::FailedPreconditionError("a newer incarnation of target " + announcement.identity.name +
                                             " is known");
    }
    const bool same_incarnation =
        existing != nullptr && existing->incarnation == announcement.identity.incarnation;
    const bool departed = announcement.departed || (same_incarnation && existing->departed);
    if (departed && announcement.state != announced_state::leaving) {
        return absl::FailedPreconditionError("this incarnation of target " + announcement.identity.name +
                                             " has departed");
    }
    last_renewals_[announcement.identity.name] = clock_.now();
    if (same_incarnation && is_visible(*existing) && existing->state == announcement.state &&
        existing->slots == announcement.slots && existing->departed == departed &&
        nodes_[existing->node].identity == self_ &&
        services_[existing->service].name == announcement.service) {
        return std::optional<wire::Fact>{};
    }
    wire::Fact fact;
    wire::TargetFact& target = *fact.mutable_target();
    target.set_name(announcement.identity.name);
    target.set_incarnation(announcement.identity.incarnation);
    // Sequences start at the node's incarnation, so that they increase across restarts of the node.
    target.set_sequence(std::max(same_incarnation ? existing->sequence : 0, self_.incarnation) + 1);
    target.set_service(announcement.service);
    target.set_node(self_.name);
    target.set_node_incarnation(self_.incarnation);
    target.set_state(static_cast<wire::TargetFact::State>(announcement.state));
    target.set_slots(announcement.slots);
    target.set_departed(departed);
    if (same_incarnation && existing->state == announced_state::ready &&
        announcement.state == announced_state::ready) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - existing->ready_since);
        target.set_ready_age_ms(static_cast<std::uint64_t>(age.count()));
    }
    apply_target(target);
    return std::optional(std::move(fact));
}

std::vector<wire::Fact> target_registry::on_tick() {
    const steady_time now = clock_.now();
    std::vector<wire::Fact> gone_facts;
    for (auto it = last_renewals_.begin(); it != last_renewals_.end();) {
        if (now - it->second < options_.renewal_interval * options_.max_missed_renewals) {
            ++it;
            continue;
        }
        const record& entry = records_[record_indexes_.at(it->first)];
        // A target that has announced itself to another node since then no longer belongs to this node.
        if (nodes_[entry.node].identity == self_ && entry.state != announced_state::gone) {
            wire::Fact fact = fact_of(entry);
            fact.mutable_target()->set_sequence(entry.sequence + 1);
            fact.mutable_target()->set_state(wire::TargetFact::GONE);
            apply_target(fact.target());
            gone_facts.push_back(std::move(fact));
        }
        it = last_renewals_.erase(it);
    }
    if (now >= next_sweep_) {
        next_sweep_ = now + sweep_interval;
        remove_expired();
    }
    return gone_facts;
}

void target_registry::remove_expired() {
    const steady_time now = clock_.now();
    while (!tombstones_.empty() && now - tombstones_.front().changed_at > options_.gone_retention) {
        const tombstone oldest = tombstones_.front();
        tombstones_.pop_front();
        const record& entry = records_[oldest.index];
        const bool ended = entry.state == announced_state::gone || (entry.departed && !is_visible(entry));
        if (entry.used && ended && entry.sequence == oldest.sequence) {
            erase_record(oldest.index);
        }
    }
    for (node_entry& node : nodes_) {
        if (!node.running && !node.targets.empty() && now - node.changed_at > options_.gone_retention) {
            const std::vector<std::uint32_t> targets = node.targets;
            for (const std::uint32_t index : targets) {
                erase_record(index);
            }
            node.targets.shrink_to_fit();
        }
    }
    std::erase_if(verdicts_,
                  [&](const auto& item) { return now - item.second.second > options_.gone_retention; });
    std::erase_if(quarantines_,
                  [&](const auto& item) { return now > item.second + options_.gone_retention; });
    std::erase_if(successes_,
                  [&](const auto& item) { return now - item.second.second > options_.gone_retention; });
    std::erase_if(crashes_, [&](const auto& item) { return now - item.second > options_.gone_retention; });
}

void target_registry::on_node_state(const node_identity& node, bool running) {
    node_entry& entry = nodes_[find_or_add_node(node.name)];
    if (node.incarnation < entry.identity.incarnation ||
        (entry.running == running && entry.identity.incarnation == node.incarnation)) {
        return;
    }
    std::vector<bool> before;
    for (const std::uint32_t index : entry.targets) {
        before.push_back(is_visible(records_[index]));
        remove_if_visible(index);
    }
    entry.identity.incarnation = node.incarnation;
    entry.running = running;
    entry.changed_at = clock_.now();
    for (std::size_t i = 0; i < before.size(); ++i) {
        add_if_visible(entry.targets[i]);
        if (is_visible(records_[entry.targets[i]]) != before[i]) {
            notify_change(entry.targets[i]);
        }
    }
}

target_view target_registry::view_of(const record& entry) const {
    target_view view;
    view.name = entry.name;
    view.incarnation = entry.incarnation;
    view.service = services_[entry.service].name;
    view.node = nodes_[entry.node].identity.name;
    view.node_incarnation = entry.node_incarnation;
    view.state = is_visible(entry) ? entry.state : announced_state::gone;
    view.slots = entry.slots;
    view.departed = entry.departed;
    if (entry.state == announced_state::ready) {
        view.ready_age =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - entry.ready_since);
    }
    return view;
}

wire::Fact target_registry::fact_of(const record& entry) const {
    wire::Fact fact;
    wire::TargetFact& target = *fact.mutable_target();
    target.set_name(entry.name);
    target.set_incarnation(entry.incarnation);
    target.set_sequence(entry.sequence);
    target.set_service(services_[entry.service].name);
    target.set_node(nodes_[entry.node].identity.name);
    target.set_node_incarnation(entry.node_incarnation);
    target.set_state(static_cast<wire::TargetFact::State>(entry.state));
    target.set_slots(entry.slots);
    target.set_departed(entry.departed);
    target.set_ready_age_ms(static_cast<std::uint64_t>(view_of(entry).ready_age.count()));
    return fact;
}

std::optional<target_view> target_registry::find(std::string_view name) const {
    const auto found = record_indexes_.find(name);
    if (found == record_indexes_.end()) {
        return std::nullopt;
    }
    return view_of(records_[found->second]);
}

void target_registry::for_each(std::string_view service,
                               const std::function<void(const target_view&)>& visit) const {
    const auto found = service_indexes_.find(std::string(service));
    if (found == service_indexes_.end()) {
        return;
    }
    for (const std::uint32_t index : services_[found->second].targets) {
        if (is_visible(records_[index])) {
            visit(view_of(records_[index]));
        }
    }
}

std::vector<wire::Fact> target_registry::facts_in_leaves(const std::vector<bool>& wanted) const {
    std::vector<wire::Fact> facts;
    for (const record& entry : records_) {
        // A target of a node that this node sees as stopped is left out, because its node may have removed
        // it. A departure holds whatever becomes of the node.
        if (entry.used && wanted[entry.leaf] &&
            (is_visible(entry) || entry.departed || entry.state == announced_state::gone)) {
            facts.push_back(fact_of(entry));
        }
    }
    return facts;
}

std::vector<wire::Fact> target_registry::departures_of(std::string_view node) const {
    std::vector<wire::Fact> facts;
    const auto found = node_indexes_.find(std::string(node));
    if (found == node_indexes_.end()) {
        return facts;
    }
    for (const std::uint32_t index : nodes_[found->second].targets) {
        if (records_[index].departed) {
            facts.push_back(fact_of(records_[index]));
        }
    }
    return facts;
}

}  // namespace teaselpitch
