#include "servers/claims/lease_promises.h"

#include <algorithm>
#include <utility>

namespace teaselpitch {
namespace {

bool names(const slot_assignment& assignment, const node_identity& node) {
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
        request.epoch() < record.known_epoch ||
        (request.epoch() == record.known_epoch && from_wire(request.holder()) != record.holder);
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
    if (renounced_ || clock_.now() <= record.promised_until || epoch < record.known_epoch) {
        return false;
    }
    record.appended_over = epoch;
    ++record.unresolved_appends;
    return true;
}

void lease_promises::on_append_not_sent(const slot_id& slot, std::uint64_t epoch) {
    const std::lock_guard lock(mutex_);
    const auto found = slots_.find(slot);
    if (found != slots_.end() && found->second.appended_over == epoch &&
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
    if (found == slots_.end() && !names(assignment, self_)) {
        return;
    }
    slot_record& record = slots_[assignment.slot];
    if (assignment.epoch <= record.known_epoch) {
        return;
    }
    record.known_epoch = assignment.epoch;
    record.holder = assignment.holder;
    // The epoch that the append replaces is no longer current: it won or can have no effect any more.
    if (record.appended_over < assignment.epoch) {
        record.unresolved_appends = 0;
    }
}

bool lease_promises::has_unresolved_append(const slot_id& slot) const {
    const std::lock_guard lock(mutex_);
    const auto found = slots_.find(slot);
    return found != slots_.end() && found->second.unresolved_appends > 0;
}

promise_requests::promise_requests(const time_source& clock, const slot_options& options, node_identity self)
    : clock_(clock), options_(options), self_(std::move(self)) {}

void promise_requests::on_assignment(const slot_assignment& assignment) {
    if (assignment.epoch <= assignment_.epoch) {
        return;
    }
    assignment_ = assignment;
    candidates_.clear();
    sent_.clear();
    if (assignment.holder == self_) {
        for (const node_identity& candidate : assignment.candidates) {
            candidates_.push_back({.node = candidate});
        }
    }
}

std::vector<wire::PromiseRequest> promise_requests::make_requests() {
    const steady_time now = clock_.now();
    // A promise that was requested longer ago than the lease is worth nothing when it arrives.
    absl::erase_if(sent_, [&](const auto& entry) { return now - entry.second.sent_at > options_.lease; });
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
        request.set_request_id(++last_request_);
        sent_[last_request_] = {i, now};
    }
    return requests;
}

void promise_requests::on_reply(const wire::PromiseReply& reply) {
    const auto sent = sent_.find(reply.request_id());
    if (sent == sent_.end() || reply.epoch() != assignment_.epoch) {
        return;
    }
    candidate_record& record = candidates_[sent->second.candidate];
    if (reply.promised() && from_wire(reply.candidate()) == record.node) {
        record.promised_at = std::max(record.promised_at.value_or(steady_time{}), sent->second.sent_at);
        record.renounced = record.renounced || reply.renounced();
    }
    sent_.erase(sent);
}

std::optional<steady_time> promise_requests::promised_since() const {
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
