#include "servers/claims/lease_promises.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

bool includes_node(const slot_assignment& assignment, const node_identity& node) {
    return assignment.holder == node || std::find(assignment.candidates.begin(), assignment.candidates.end(),
                                                  node) != assignment.candidates.end();
}

}  // namespace

lease_promises::lease_promises(const time_source& clock, const slot_options& options, node_identity self)
    : clock_(clock), options_(options), self_(std::move(self)) {}

wire::PromiseReply lease_promises::on_request(const wire::PromiseRequest& request) {
    wire::PromiseReply reply;
    reply.set_service(request.service());
    reply.set_slot(request.slot());
    reply.set_epoch(request.epoch());
    *reply.mutable_candidate() = to_wire(self_);
    reply.set_request_id(request.request_id());
    if (from_wire(request.candidate()) != self_) {
        return reply;
    }
    const std::lock_guard lock(mutex_);
    slot_record& record = slots_[{request.service(), request.slot()}];
    const bool superseded =
        request.epoch() < record.latest_epoch ||
        (request.epoch() == record.latest_epoch && from_wire(request.holder()) != record.holder);
    if (superseded || record.unresolved_appends > 0) {
        return reply;
    }
    record.promised_until = std::max(record.promised_until, clock_.now() + options_.lease);
    reply.set_promised(true);
    reply.set_renounced(renounced_);
    return reply;
}

bool lease_promises::begin_append(const slot_id& slot, std::uint64_t epoch) {
    const std::lock_guard lock(mutex_);
    slot_record& record = slots_[slot];
    if (renounced_ || clock_.now() <= record.promised_until || epoch < record.latest_epoch) {
        return false;
    }
    record.replaced_epoch = epoch;
    ++record.unresolved_appends;
    return true;
}

void lease_promises::on_append_not_sent(const slot_id& slot, std::uint64_t epoch) {
    const std::lock_guard lock(mutex_);
    const auto found = slots_.find(slot);
    if (found != slots_.end() && found->second.replaced_epoch == epoch &&
        found->second.unresolved_appends > 0) {
        --found->second.unresolved_appends;
    }
}

void lease_promises::renounce() {
    const std::lock_guard lock(mutex_);
    renounced_ = true;
}

void lease_promises::on_assignment(const slot_assignment& assignment) {
    const std::lock_guard lock(mutex_);
    const auto found = slots_.find(assignment.slot);
    if (found == slots_.end() && !includes_node(assignment, self_)) {
        return;
    }
    slot_record& record = slots_[assignment.slot];
    if (assignment.epoch <= record.latest_epoch) {
        return;
    }
    record.latest_epoch = assignment.epoch;
    record.holder = assignment.holder;
    // The replaced epoch is no longer current, so the append has either taken effect or never will.
    if (record.replaced_epoch < assignment.epoch) {
        record.unresolved_appends = 0;
    }
}

bool lease_promises::has_unresolved_append(const slot_id& slot) const {
    const std::lock_guard lock(mutex_);
    const auto found = slots_.find(slot);
    return found != slots_.end() && found->second.unresolved_appends > 0;
}

promise_collector::promise_collector(const time_source& clock, const slot_options& options,
                                     node_identity self)
    : clock_(clock), options_(options), self_(std::move(self)) {}

void promise_collector::on_assignment(const slot_assignment& assignment) {
    if (assignment.epoch <= assignment_.epoch) {
        return;
    }
    assignment_ = assignment;
    candidates_.clear();
    pending_requests_.clear();
    if (assignment.holder == self_) {
        for (const node_identity& candidate : assignment.candidates) {
            candidates_.push_back({.node = candidate});
        }
    }
}

std::vector<wire::PromiseRequest> promise_collector::make_requests() {
    const steady_time now = clock_.now();
    // A promise counts from its request, so a reply that takes longer than the lease is useless.
    absl::erase_if(pending_requests_,
                   [&](const auto& entry) { return now - entry.second.sent_at > options_.lease; });
    std::vector<wire::PromiseRequest> requests;
    for (std::size_t i = 0; i < candidates_.size(); ++i) {
        if (candidates_[i].renounced) {
            continue;
        }
        wire::PromiseRequest& request = requests.emplace_back();
        request.set_service(assignment_.slot.service);
        request.set_slot(assignment_.slot.slot);
        request.set_epoch(assignment_.epoch);
        *request.mutable_holder() = to_wire(self_);
        *request.mutable_candidate() = to_wire(candidates_[i].node);
        request.set_request_id(++last_request_id_);
        pending_requests_[last_request_id_] = {i, now};
    }
    return requests;
}

void promise_collector::on_reply(const wire::PromiseReply& reply) {
    const auto pending = pending_requests_.find(reply.request_id());
    if (pending == pending_requests_.end() || reply.epoch() != assignment_.epoch) {
        return;
    }
    candidate_record& record = candidates_[pending->second.candidate];
    if (reply.promised() && from_wire(reply.candidate()) == record.node) {
        record.promised_at = std::max(record.promised_at.value_or(steady_time{}), pending->second.sent_at);
        record.renounced = record.renounced || reply.renounced();
    }
    pending_requests_.erase(pending);
}

std::optional<steady_time> promise_collector::oldest_promise_time() const {
    if (assignment_.holder != self_) {
        return std::nullopt;
    }
    steady_time oldest = clock_.now();
    for (const candidate_record& record : candidates_) {
        if (record.renounced) {
            continue;
        }
        if (!record.promised_at) {
            return std::nullopt;
        }
        oldest = std::min(oldest, *record.promised_at);
    }
    return oldest;
}

}  // namespace teaselpitch
