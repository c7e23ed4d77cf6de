#include "main/bench_claims/outage_fleet.h"

#include <algorithm>
#include <iterator>

namespace teaselpitch::bench {
namespace {

using namespace std::chrono_literals;

const slot_id simulated_slot{"contratos", 0};
constexpr std::size_t node_count = 5;
constexpr auto death_declaration_delay = 4s;  // One failed probe, then 3 s of suspicion.
constexpr std::int64_t steps_per_log_read = 2;
constexpr std::int64_t steps_per_second = 10;

}  // namespace

outage_fleet::outage_fleet() : nodes_(node_count) {
    const slot_options options = make_slot_options({});
    std::vector<eligible_node> eligible_nodes;
    for (std::size_t i = 0; i < node_count; ++i) {
        node& next = nodes_[i];
        next.self = {"n" + std::to_string(i), 1};
        eligible_nodes.push_back({next.self, "zone-" + std::to_string(i % 3)});
        next.ledger = std::make_unique<claim_ledger>(clock_, claim_options{.retention = options.retention});
        next.holder = std::make_unique<slot_holder>(clock_, options, next.self, simulated_slot, *next.ledger);
        next.promises = std::make_unique<lease_promises>(clock_, options, next.self);
        next.promise_requests = std::make_unique<promise_collector>(clock_, options, next.self);
        next.policy = std::make_unique<takeover_policy>(clock_, takeover_options{}, next.self);
    }
    for (node& next : nodes_) {
        next.policy->on_eligible_nodes(simulated_slot.service, eligible_nodes);
    }
    for (int i = 0; i < 100; ++i) {
        advance(100ms);
    }
    send("old-key", false);
}

std::vector<node_identity> outage_fleet::alive_nodes() const {
    std::vector<node_identity> alive;
    for (const node& next : nodes_) {
        if (next.is_active() || clock_.now() - next.last_active_at < death_declaration_delay) {
            alive.push_back(next.self);
        }
    }
    return alive;
}

void outage_fleet::resume_all() {
    for (node& next : nodes_) {
        next.paused = false;
    }
}

void outage_fleet::set_log_reachable_for_all(bool reachable) {
    for (node& next : nodes_) {
        next.log_reachable = reachable;
    }
}

std::size_t outage_fleet::node_with_role(std::size_t role) const {
    const slot_assignment* current = nullptr;
    for (const node& next : nodes_) {
        const slot_assignment* seen = next.map.find(simulated_slot);
        if (seen != nullptr && (current == nullptr || seen->epoch > current->epoch)) {
            current = seen;
        }
    }
    const node_identity& wanted = role == 0 ? current->holder : current->candidates[role - 1];
    const auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const node& next) { return next.self == wanted; });
    return static_cast<std::size_t>(found - nodes_.begin());
}

outage_fleet::node* outage_fleet::find(const node_identity& self) {
    const auto found =
        std::find_if(nodes_.begin(), nodes_.end(), [&](const node& next) { return next.self == self; });
    return found == nodes_.end() ? nullptr : &*found;
}

void outage_fleet::advance(std::chrono::milliseconds step) {
    clock_.advance(step);
    ++steps_;
    for (node& next : nodes_) {
        if (!next.is_active()) {
            continue;
        }
        next.last_active_at = clock_.now();
        next.ledger->on_tick();
        if (steps_ % steps_per_log_read == 0 && next.log_reachable) {
            read_log(next);
        }
        if (steps_ % steps_per_second == 0) {
            renew_promises(next);
            propose(next);
        }
    }
}

void outage_fleet::read_log(node& reader) {
    for (; reader.log_position < log_.size(); ++reader.log_position) {
        const log_record& record = log_[reader.log_position];
        if (reader.map.apply(to_wire(record.assignment), record.appender, false, reader.log_position + 1)
                .ok()) {
            const slot_assignment& current = *reader.map.find(record.assignment.slot);
            if (current.slot != simulated_slot) {
                continue;
            }
            reader.holder->on_assignment(current);
            reader.promises->on_assignment(current);
            reader.promise_requests->on_assignment(current);
        }
    }
    reader.holder->on_fresh_log_read(clock_.now());
}

void outage_fleet::renew_promises(node& holder) {
    for (const wire::PromiseRequest& request : holder.promise_requests->make_requests()) {
        node* candidate = find(from_wire(request.candidate()));
        if (candidate->is_active()) {
            holder.promise_requests->on_reply(candidate->promises->on_request(request));
        }
    }
    if (const auto since = holder.promise_requests->oldest_promise_time(); since) {
        holder.holder->on_candidates_promised(holder.promise_requests->epoch(), *since);
    }
}

void outage_fleet::propose(node& proposer) {
    proposer.policy->on_alive_nodes(alive_nodes());
    proposer.policy->set_log_reachable(proposer.log_reachable);
    for (const slot_change& change : proposer.policy->on_tick(proposer.map)) {
        apply_change(proposer, change);
    }
}

void outage_fleet::apply_change(node& proposer, const slot_change& change) {
    const slot_assignment& next = change.next;
    if (change.kind == slot_change_kind::hand_over) {
        if (next.slot == simulated_slot) {
            hand_over(proposer, change);
        }
        return;
    }
    if (change.kind == slot_change_kind::take_over &&
        !proposer.promises->begin_append(next.slot, next.previous_epoch)) {
        return;
    }
    if (change.kind == slot_change_kind::renew && next.slot == simulated_slot) {
        proposer.holder->begin_own_append();
    }
    log_.push_back({next, proposer.self});
}

void outage_fleet::hand_over(node& holder, const slot_change& change) {
    node* successor = find(change.successor);
    holder.holder->begin_hand_over();
    const auto claims = holder.holder->export_claims();
    if (claims && successor->is_active() && successor->log_reachable &&
        successor->holder->import_claims(*claims).ok()) {
        log_.push_back({change.next, successor->self});
    }
}

outage_fleet::node& outage_fleet::node_for_request() {
    for (node& next : nodes_) {
        const slot_state state = next.holder->state();
        if (next.is_active() && (state == slot_state::serving || state == slot_state::first_sends_only)) {
            return next;
        }
    }
    return nodes_[node_with_role(0)];
}

step_result outage_fleet::send_new_key(bool marked) {
    return send("key-" + std::to_string(++last_key_number_), marked);
}

step_result outage_fleet::resend_used_key() {
    return send("old-key", false);
}

step_result outage_fleet::send(const std::string& key, bool marked) {
    node& holder = node_for_request();
    if (!holder.alive) {
        return step_result::peer_unreachable;
    }
    if (holder.paused) {
        return step_result::no_answer;
    }
    const slot_decision decision =
        holder.holder->decide(key, {.first_send = marked, .slot_epoch = known_epoch_}, 1, 0);
    known_epoch_ = std::max(known_epoch_, decision.slot_epoch);
    if (decision.claim.action == claim_action::refuse) {
        return decision.claim.error == error_kind::key_in_doubt ? step_result::key_in_doubt
                                                                : step_result::slot_moving;
    }
    if (decision.claim.action == claim_action::run) {
        finish(holder, key, decision);
    }
    return step_result::answered;
}

void outage_fleet::finish(node& holder, const std::string& key, const slot_decision& decision) {
    const claim_token token = decision.claim.token;
    if (holder.holder->may_write_now(decision.permit)) {
        holder.ledger->finish(simulated_slot, key, token, {});
    } else {
        holder.ledger->finish_not_run(simulated_slot, key, token);
    }
}

}  // namespace teaselpitch::bench
