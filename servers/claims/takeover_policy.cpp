#include "servers/claims/takeover_policy.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

std::string format_node(const node_identity& node) {
    return node.name + "#" + std::to_string(node.incarnation);
}

slot_change make_change(slot_change_kind kind, slot_assignment next) {
    return {kind, std::move(next), {}};
}

}  // namespace

takeover_policy::takeover_policy(const time_source& clock, const takeover_options& options,
                                 node_identity self)
    : clock_(clock), options_(options), self_(std::move(self)) {}

void takeover_policy::on_eligible_nodes(const std::string& service,
                                        std::vector<eligible_node> eligible_nodes) {
    const auto [entry, added] = services_.try_emplace(service);
    entry->second.eligible_nodes = std::move(eligible_nodes);
    if (added) {
        entry->second.first_seen_at = clock_.now();
    }
}

void takeover_policy::on_alive_nodes(const std::vector<node_identity>& alive) {
    alive_.clear();
    for (const node_identity& node : alive) {
        const std::string text = format_node(node);
        dead_since_.erase(text);
        alive_.insert(text);
    }
}

void takeover_policy::set_log_reachable(bool reachable) {
    log_reachable_ = reachable;
}

void takeover_policy::set_draining() {
    draining_ = true;
}

std::vector<slot_change> takeover_policy::on_tick(const slot_map& slots) {
    const steady_time now = clock_.now();
    std::vector<slot_change> changes;
    for (const auto& [name, service] : services_) {
        for (std::uint32_t i = 0; i < slots_per_service; ++i) {
            const slot_id slot{name, i};
            const slot_assignment* current = slots.find(slot);
            if (current != nullptr) {
                record_dead_node(current->holder, now);
                std::for_each(current->candidates.begin(), current->candidates.end(),
                              [&](const node_identity& candidate) { record_dead_node(candidate, now); });
            }
            const auto proposed = proposed_at_.find(slot);
            const bool was_proposed_recently =
                proposed != proposed_at_.end() && now - proposed->second < options_.proposal_interval;
            if (was_proposed_recently || !log_reachable_) {
                continue;
            }
            if (std::optional<slot_change> change = propose_change(slot, current, service); change) {
                proposed_at_[slot] = now;
                changes.push_back(std::move(*change));
            }
        }
    }
    return changes;
}

void takeover_policy::record_dead_node(const node_identity& node, steady_time now) {
    const std::string text = format_node(node);
    if (!alive_.contains(text)) {
        dead_since_.try_emplace(text, now);
    }
}

bool takeover_policy::has_been_dead_for(const node_identity& node, std::chrono::milliseconds time) const {
    const auto since = dead_since_.find(format_node(node));
    return since != dead_since_.end() && clock_.now() - since->second >= time;
}

bool takeover_policy::is_eligible(const service_record& service, const node_identity& node) const {
    return std::any_of(service.eligible_nodes.begin(), service.eligible_nodes.end(),
                       [&node](const eligible_node& eligible) { return eligible.node == node; });
}

std::optional<slot_change> takeover_policy::propose_change(const slot_id& slot,
                                                           const slot_assignment* current,
                                                           const service_record& service) const {
    if (current == nullptr) {
        return propose_first_assignment(slot, service);
    }
    if (current->holder == self_) {
        return propose_holder_change(*current, service);
    }
    return propose_takeover(*current, service);
}

std::optional<slot_change> takeover_policy::propose_first_assignment(const slot_id& slot,
                                                                     const service_record& service) const {
    assignment_proposal proposal = propose_assignment(slot, service.eligible_nodes);
    if (draining_ || proposal.holder != self_ ||
        clock_.now() - service.first_seen_at < options_.first_assignment_delay) {
        return std::nullopt;
    }
    return make_change(
        slot_change_kind::first,
        {.slot = slot, .holder = std::move(proposal.holder), .candidates = std::move(proposal.candidates)});
}

std::optional<slot_change> takeover_policy::propose_holder_change(const slot_assignment& current,
                                                                  const service_record& service) const {
    if (draining_ || !is_eligible(service, self_)) {
        return propose_hand_over(current, service);
    }
    std::vector<node_identity> candidates = propose_candidates(current.slot, self_, service.eligible_nodes);
    const bool has_dead = std::any_of(
        current.candidates.begin(), current.candidates.end(),
        [this](const node_identity& node) { return has_been_dead_for(node, options_.candidate_dead_for); });
    // Candidates that merely rank below a new node are not replaced, because each renewal costs an append.
    if (candidates == current.candidates || (!has_dead && candidates.size() <= current.candidates.size())) {
        return std::nullopt;
    }
    return make_change(slot_change_kind::renew, {.slot = current.slot,
                                                 .previous_epoch = current.epoch,
                                                 .holder = self_,
                                                 .candidates = std::move(candidates)});
}

std::optional<slot_change> takeover_policy::propose_hand_over(const slot_assignment& current,
                                                              const service_record& service) const {
    std::vector<node_identity> successors = current.candidates;
    const std::vector<node_identity> others = propose_candidates(current.slot, self_, service.eligible_nodes);
    successors.insert(successors.end(), others.begin(), others.end());
    const auto chosen = std::find_if(successors.begin(), successors.end(), [&](const node_identity& node) {
        return node != self_ && is_eligible(service, node) && alive_.contains(format_node(node));
    });
    if (chosen == successors.end()) {
        return std::nullopt;
    }
    slot_assignment next{.slot = current.slot, .previous_epoch = current.epoch, .holder = *chosen};
    next.planned = true;
    std::vector<eligible_node> eligible_nodes = service.eligible_nodes;
    std::erase_if(eligible_nodes, [this](const eligible_node& eligible) { return eligible.node == self_; });
    next.candidates = propose_candidates(current.slot, *chosen, eligible_nodes);
    return slot_change{slot_change_kind::hand_over, std::move(next), *chosen};
}

std::optional<slot_change> takeover_policy::propose_takeover(const slot_assignment& current,
                                                             const service_record& service) const {
    const auto own = std::find(current.candidates.begin(), current.candidates.end(), self_);
    if (draining_ || own == current.candidates.end()) {
        return std::nullopt;
    }
    const auto alive_candidates_before =
        std::count_if(current.candidates.begin(), own,
                      [this](const node_identity& node) { return alive_.contains(format_node(node)); });
    if (!has_been_dead_for(current.holder,
                           options_.holder_dead_for + alive_candidates_before * options_.candidate_stagger)) {
        return std::nullopt;
    }
    return make_change(slot_change_kind::take_over,
                       {.slot = current.slot,
                        .previous_epoch = current.epoch,
                        .holder = self_,
                        .candidates = propose_candidates(current.slot, self_, service.eligible_nodes)});
}

}  // namespace teaselpitch
