#include "servers/membership/target_registry.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds sweep_interval{10'000};
// Gossip repeats a quarantine with a remaining time that aged in queues; only a clear extension is news.
constexpr std::chrono::milliseconds quarantine_slack{30'000};

std::uint64_t entry_hash(std::string_view name, std::uint64_t incarnation, std::uint64_t sequence) {
    constexpr std::uint64_t odd = 0x9e3779b97f4a7c15;
    return stable_hash(name, incarnation * odd + sequence);
}

void remove_from(std::vector<std::uint32_t>& list, std::uint32_t place) {
    const auto found = std::find(list.begin(), list.end(), place);
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
    on_node(self_, true);
}

std::uint32_t target_registry::node_of(std::string_view name) {
    const auto [found, added] =
        node_places_.try_emplace(std::string(name), static_cast<std::uint32_t>(nodes_.size()));
    if (added) {
        nodes_.push_back({{std::string(name), 0}, false, clock_.now(), {}});
    }
    return found->second;
}

std::uint32_t target_registry::service_of(std::string_view name) {
    const auto [found, added] =
        service_places_.try_emplace(std::string(name), static_cast<std::uint32_t>(services_.size()));
    if (added) {
        services_.push_back({std::string(name), {}});
    }
    return found->second;
}

std::uint32_t target_registry::place_of(std::string_view name) {
    const auto found = places_.find(name);
    if (found != places_.end()) {
        return found->second;
    }
    std::uint32_t place = static_cast<std::uint32_t>(records_.size());
    if (free_.empty()) {
        records_.emplace_back();
    } else {
        place = free_.back();
        free_.pop_back();
    }
    record& entry = records_[place];
    entry = record{};
    entry.name = name;
    entry.leaf = static_cast<std::uint16_t>(state_digest::leaf_of(stable_hash(name)));
    places_.emplace(std::string_view(entry.name), place);
    return place;
}

bool target_registry::visible(const record& entry) const {
    const node_entry& node = nodes_[entry.node];
    return entry.used && entry.state != announced_state::gone && node.running &&
           node.identity.incarnation == entry.node_incarnation;
}

void target_registry::show(std::uint32_t place) {
    const record& entry = records_[place];
    if (visible(entry)) {
        ++visible_;
        digest_.toggle(stable_hash(entry.name), entry_hash(entry.name, entry.incarnation, entry.sequence));
    }
}

void target_registry::hide(std::uint32_t place) {
    const record& entry = records_[place];
    if (visible(entry)) {
        --visible_;
        digest_.toggle(stable_hash(entry.name), entry_hash(entry.name, entry.incarnation, entry.sequence));
    }
}

void target_registry::link(std::uint32_t place) {
    nodes_[records_[place].node].targets.push_back(place);
    services_[records_[place].service].targets.push_back(place);
}

void target_registry::unlink(std::uint32_t place) {
    remove_from(nodes_[records_[place].node].targets, place);
    remove_from(services_[records_[place].service].targets, place);
}

void target_registry::erase(std::uint32_t place) {
    hide(place);
    unlink(place);
    places_.erase(records_[place].name);
    records_[place] = record{};
    free_.push_back(place);
}

void target_registry::tell(std::uint32_t place) const {
    if (hooks_.on_change) {
        hooks_.on_change(view_of(records_[place]));
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
        default:
            return false;
    }
}

void target_registry::fill(record& entry, const wire::TargetFact& fact) {
    entry.incarnation = fact.incarnation();
    entry.sequence = fact.sequence();
    entry.node_incarnation = fact.node_incarnation();
    entry.ready_since = clock_.now() - std::chrono::milliseconds(fact.ready_age_ms());
    entry.service = service_of(fact.service());
    entry.node = node_of(fact.node());
    entry.slots = fact.slots();
    entry.state = static_cast<announced_state>(fact.state());
    entry.used = true;
}

bool target_registry::apply_target(const wire::TargetFact& fact) {
    if (fact.name().empty() || fact.service().empty() || fact.node().empty() ||
        !wire::TargetFact::State_IsValid(fact.state())) {
        return false;
    }
    const std::uint32_t place = place_of(fact.name());
    record& entry = records_[place];
    if (entry.used) {
        if (std::pair(fact.incarnation(), fact.sequence()) <= std::pair(entry.incarnation, entry.sequence)) {
            return false;
        }
        hide(place);
        unlink(place);
    }
    fill(entry, fact);
    link(place);
    show(place);
    if (entry.state == announced_state::gone) {
        tombstones_.push_back({place, entry.sequence, clock_.now()});
    }
    tell(place);
    return true;
}

bool target_registry::apply_verdict(const wire::VerdictFact& fact) {
    auto& known = verdicts_[fact.target() + "/" + fact.origin_node()];
    if (fact.sequence() <= known.first) {
        return false;
    }
    known = {fact.sequence(), clock_.now()};
    if (hooks_.on_verdict) {
        hooks_.on_verdict(fact);
    }
    return true;
}

bool target_registry::apply_quarantine(const wire::QuarantineFact& fact) {
    const steady_time end = clock_.now() + std::chrono::milliseconds(fact.remaining_ms());
    const auto [known, added] = quarantines_.try_emplace(fact.fingerprint(), end);
    if (!added && end <= known->second + quarantine_slack) {
        return false;
    }
    known->second = end;
    if (hooks_.on_quarantine) {
        hooks_.on_quarantine(fact);
    }
    return true;
}

absl::StatusOr<std::optional<wire::Fact>> target_registry::announce(const target_announcement& announcement) {
    if (announcement.identity.name.empty() || announcement.service.empty() || announcement.slots == 0 ||
        announcement.state == announced_state::gone) {
        return absl::InvalidArgumentError("an announcement needs a target, a service, slots and a state");
    }
    const auto found = places_.find(announcement.identity.name);
    const record* known = found == places_.end() ? nullptr : &records_[found->second];
    if (known != nullptr && known->incarnation > announcement.identity.incarnation) {
        return absl::FailedPreconditionError("a newer incarnation of target " + announcement.identity.name +
                                             " is known");
    }
    renewed_[announcement.identity.name] = clock_.now();
    const bool same_life = known != nullptr && known->incarnation == announcement.identity.incarnation;
    if (same_life && visible(*known) && known->state == announcement.state &&
        known->slots == announcement.slots && nodes_[known->node].identity == self_ &&
        services_[known->service].name == announcement.service) {
        return std::optional<wire::Fact>{};
    }
    wire::Fact fact;
    wire::TargetFact& target = *fact.mutable_target();
    target.set_name(announcement.identity.name);
    target.set_incarnation(announcement.identity.incarnation);
    // Starting at the node's incarnation, sequences grow across restarts of the node.
    target.set_sequence(std::max(same_life ? known->sequence : 0, self_.incarnation) + 1);
    target.set_service(announcement.service);
    target.set_node(self_.name);
    target.set_node_incarnation(self_.incarnation);
    target.set_state(static_cast<wire::TargetFact::State>(announcement.state));
    target.set_slots(announcement.slots);
    if (same_life && known->state == announced_state::ready && announcement.state == announced_state::ready) {
        const auto age =
            std::chrono::duration_cast<std::chrono::milliseconds>(clock_.now() - known->ready_since);
        target.set_ready_age_ms(static_cast<std::uint64_t>(age.count()));
    }
    apply_target(target);
    return std::optional(std::move(fact));
}

std::vector<wire::Fact> target_registry::on_tick() {
    const steady_time now = clock_.now();
    std::vector<wire::Fact> ended;
    for (auto it = renewed_.begin(); it != renewed_.end();) {
        if (now - it->second < options_.renewal * options_.missed_renewals) {
            ++it;
            continue;
        }
        const record& entry = records_[places_.at(it->first)];
        // A target that announced itself elsewhere since then is not this node's any more.
        if (nodes_[entry.node].identity == self_ && entry.state != announced_state::gone) {
            wire::Fact fact = fact_of(entry);
            fact.mutable_target()->set_sequence(entry.sequence + 1);
            fact.mutable_target()->set_state(wire::TargetFact::GONE);
            apply_target(fact.target());
            ended.push_back(std::move(fact));
        }
        it = renewed_.erase(it);
    }
    if (now >= next_sweep_) {
        next_sweep_ = now + sweep_interval;
        forget_old();
    }
    return ended;
}

void target_registry::forget_old() {
    const steady_time now = clock_.now();
    while (!tombstones_.empty() && now - tombstones_.front().since > options_.gone_memory) {
        const tombstone oldest = tombstones_.front();
        tombstones_.pop_front();
        const record& entry = records_[oldest.place];
        if (entry.used && entry.state == announced_state::gone && entry.sequence == oldest.sequence) {
            erase(oldest.place);
        }
    }
    for (node_entry& node : nodes_) {
        if (!node.running && !node.targets.empty() && now - node.since > options_.gone_memory) {
            const std::vector<std::uint32_t> targets = node.targets;
            for (const std::uint32_t place : targets) {
                erase(place);
            }
            node.targets.shrink_to_fit();
        }
    }
    std::erase_if(verdicts_,
                  [&](const auto& item) { return now - item.second.second > options_.gone_memory; });
    std::erase_if(quarantines_, [&](const auto& item) { return now > item.second + options_.gone_memory; });
}

void target_registry::on_node(const node_identity& node, bool running) {
    node_entry& entry = nodes_[node_of(node.name)];
    if (node.incarnation < entry.identity.incarnation ||
        (entry.running == running && entry.identity.incarnation == node.incarnation)) {
        return;
    }
    std::vector<bool> before;
    for (const std::uint32_t place : entry.targets) {
        before.push_back(visible(records_[place]));
        hide(place);
    }
    entry.identity.incarnation = node.incarnation;
    entry.running = running;
    entry.since = clock_.now();
    for (std::size_t i = 0; i < before.size(); ++i) {
        show(entry.targets[i]);
        if (visible(records_[entry.targets[i]]) != before[i]) {
            tell(entry.targets[i]);
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
    view.state = visible(entry) ? entry.state : announced_state::gone;
    view.slots = entry.slots;
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
    target.set_ready_age_ms(static_cast<std::uint64_t>(view_of(entry).ready_age.count()));
    return fact;
}

std::optional<target_view> target_registry::find(std::string_view name) const {
    const auto found = places_.find(name);
    if (found == places_.end()) {
        return std::nullopt;
    }
    return view_of(records_[found->second]);
}

void target_registry::for_each(std::string_view service,
                               const std::function<void(const target_view&)>& visit) const {
    const auto found = service_places_.find(std::string(service));
    if (found == service_places_.end()) {
        return;
    }
    for (const std::uint32_t place : services_[found->second].targets) {
        if (visible(records_[place])) {
            visit(view_of(records_[place]));
        }
    }
}

std::vector<wire::Fact> target_registry::facts_in(const std::vector<bool>& wanted) const {
    std::vector<wire::Fact> facts;
    for (const record& entry : records_) {
        // A target of a node that does not run here is not passed on: its node may have ended it already.
        if (entry.used && wanted[entry.leaf] && (visible(entry) || entry.state == announced_state::gone)) {
            facts.push_back(fact_of(entry));
        }
    }
    return facts;
}

}  // namespace teaselpitch
