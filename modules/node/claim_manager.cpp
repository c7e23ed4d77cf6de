#include "modules/node/claim_manager.h"

#include <boost/asio/experimental/awaitable_operators.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>
#include <system_error>
#include <utility>

#include "core/event_log.h"
#include "modules/node/answer_recorder.h"

namespace teaselpitch {
namespace {

constexpr std::size_t max_stored_answer_bytes = 16 * 1024;

/// Ends a claim on every exit path. The outcome of a run that was interrupted counts as unknown when sending
/// its first byte had been permitted.
class claim_guard {
public:
    claim_guard(claim_ledger& ledger, const slot_id& slot, const std::string& key, claim_token token,
                std::function<void(const claim_completion&)> notify_joiners)
        : ledger_(ledger),
          slot_(slot),
          key_(key),
          token_(token),
          notify_joiners_(std::move(notify_joiners)) {}
    claim_guard(const claim_guard&) = delete;
    claim_guard& operator=(const claim_guard&) = delete;
    ~claim_guard() {
        if (!ended_) {
            notify_joiners_(write_permitted_ ? ledger_.finish_unknown(slot_, key_, token_)
                                             : ledger_.finish_not_run(slot_, key_, token_));
        }
    }

    void mark_write_permitted() { write_permitted_ = true; }

    void complete(const exchange_result& result, const std::optional<stored_answer>& answer) {
        ended_ = true;
        if (result.error == error_kind::none) {
            notify_joiners_(answer ? ledger_.finish(slot_, key_, token_, *answer)
                                   : ledger_.finish_without_answer(slot_, key_, token_));
        } else if (result.execution == execution_state::not_run) {
            notify_joiners_(ledger_.finish_not_run(slot_, key_, token_));
        } else {
            notify_joiners_(ledger_.finish_unknown(slot_, key_, token_));
        }
    }

private:
    claim_ledger& ledger_;
    const slot_id slot_;
    const std::string key_;
    const claim_token token_;
    const std::function<void(const claim_completion&)> notify_joiners_;
    bool write_permitted_ = false;
    bool ended_ = false;
};

std::string scoped_key_of(const request_head& head) {
    return scoped_key(head.account, head.idempotency_key);
}

slot_id slot_of(const request_head& head) {
    return {head.service, slot_of_key(scoped_key_of(head))};
}

// A caller whose first send was refused sends the request again with the slot epoch from that refusal.
send_mark parse_send_mark(const request_head& head) {
    send_mark mark{.first_send = head.first_send, .slot_epoch = 0};
    if (const auto text = find_header(head.headers, "Teaselpitch-Slot-Epoch")) {
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), mark.slot_epoch);
        if (error != std::errc{} || end != text->data() + text->size()) {
            mark.slot_epoch = 0;
        }
    }
    return mark;
}

exchange_result make_claim_refusal(const slot_decision& decision) {
    exchange_result result =
        failed_exchange(decision.claim.error, "the holder of the idempotency key refused the request");
    result.slot_epoch = decision.slot_epoch;
    return result;
}

exchange_result make_answer_not_stored_result() {
    exchange_result result =
        failed_exchange(error_kind::key_in_doubt, "the request was executed, but its answer was not stored");
    result.execution = execution_state::run;
    return result;
}

}  // namespace

claim_manager::claim_manager(const time_source& clock, const slot_settings& settings,
                             const claim_options& claims, node_identity self, claim_manager_hooks hooks)
    : clock_(clock),
      options_(make_slot_options(settings)),
      self_(std::move(self)),
      hooks_(std::move(hooks)),
      ledger_(clock, claims),
      promises_(clock, options_, self_),
      policy_(clock, takeover_options{}, self_),
      holders_(std::make_shared<const holder_map>()) {}

void claim_manager::on_assignments(const slot_map& slots, std::span<const slot_assignment> changed) {
    for (const slot_assignment& assignment : changed) {
        slot_state& entry = slot_state_for(assignment.slot);
        entry.holder->on_assignment(assignment);
        entry.promises->on_assignment(assignment);
        promises_.on_assignment(assignment);
    }
    if (changed.empty()) {
        return;
    }
    auto holders = std::make_shared<holder_map>();
    for (const slot_assignment& assignment : slots.assignments()) {
        holders->emplace(assignment.slot, assignment.holder);
    }
    holders_.update(std::move(holders));
}

void claim_manager::on_fresh_log_read(steady_time issued_at) {
    for (auto& [slot, entry] : slots_) {
        entry.holder->on_fresh_log_read(issued_at);
    }
}

void claim_manager::on_places(const std::string& service, std::vector<eligible_node> places) {
    policy_.on_eligible_nodes(service, std::move(places));
}

void claim_manager::on_alive_nodes(const std::vector<node_identity>& alive) {
    policy_.on_alive_nodes(alive);
}

void claim_manager::on_promise_reply(const wire::PromiseReply& reply) {
    slot_state& entry = slot_state_for({reply.service(), reply.slot()});
    entry.promises->on_reply(reply);
    if (const std::optional<steady_time> since = entry.promises->oldest_promise_time()) {
        entry.holder->on_candidates_promised(entry.promises->epoch(), *since);
    }
}

wire::PromiseReply claim_manager::on_promise_request(const wire::PromiseRequest& request) {
    return promises_.on_request(request);
}

absl::Status claim_manager::on_hand_over(const wire::HandOver& message) {
    const slot_assignment next = from_wire(message.next());
    if (next.holder != self_) {
        return absl::FailedPreconditionError(
            "the hand-over names another node or incarnation as the new holder");
    }
    if (absl::Status imported = slot_state_for(next.slot).holder->import_claims(message.claims());
        !imported.ok()) {
        return imported;
    }
    wire::SlotChange change;
    *change.mutable_appender() = to_wire(self_);
    *change.add_assignments() = message.next();
    hooks_.append(std::move(change));
    return absl::OkStatus();
}

void claim_manager::set_draining() {
    policy_.set_draining();
}

void claim_manager::on_tick(const slot_map& slots, bool log_is_fresh) {
    ledger_.on_tick();
    wire::SlotChange batch;
    for (const slot_change& change : policy_.on_tick(slots)) {
        start_slot_change(change, batch);
    }
    if (batch.assignments_size() > 0) {
        *batch.mutable_appender() = to_wire(self_);
        hooks_.append(std::move(batch));
    }
    finish_hand_overs();
    if (log_is_fresh) {
        return;
    }
    // Without a recent read of the log, the holder may continue only while every candidate has promised not
    // to take over the slot.
    for (auto& [slot, entry] : slots_) {
        for (wire::PromiseRequest& request : entry.promises->make_requests()) {
            hooks_.request_promise(std::move(request));
        }
        if (const std::optional<steady_time> since = entry.promises->oldest_promise_time()) {
            entry.holder->on_candidates_promised(entry.promises->epoch(), *since);
        }
    }
}

void claim_manager::start_slot_change(const slot_change& change, wire::SlotChange& batch) {
    slot_state& entry = slot_state_for(change.next.slot);
    switch (change.kind) {
        case slot_change_kind::first:
            break;
        case slot_change_kind::take_over:
            if (!promises_.begin_append(change.next.slot, change.next.previous_epoch)) {
                return;
            }
            break;
        case slot_change_kind::renew:
            entry.holder->begin_own_append();
            break;
        case slot_change_kind::hand_over:
            start_hand_over(change);
            return;
    }
    log_event(event_level::info, "slot_change",
              {{"service", change.next.slot.service},
               {"slot", change.next.slot.slot},
               {"previous_epoch", change.next.previous_epoch},
               {"holder", change.next.holder.name}});
    *batch.add_assignments() = to_wire(change.next);
}

void claim_manager::start_hand_over(const slot_change& change) {
    if (slot_state_for(change.next.slot).holder->begin_hand_over()) {
        pending_hand_overs_.push_back(change);
    }
}

void claim_manager::finish_hand_overs() {
    std::erase_if(pending_hand_overs_, [this](const slot_change& change) {
        if (ledger_.running_count(change.next.slot) > 0) {
            return false;
        }
        if (std::optional<wire::SlotClaims> claims =
                slot_state_for(change.next.slot).holder->export_claims()) {
            wire::HandOver message;
            *message.mutable_claims() = std::move(*claims);
            *message.mutable_next() = to_wire(change.next);
            hooks_.hand_over(change.successor, std::move(message));
        }
        return true;
    });
}

awaitable<exchange_result> claim_manager::run(gate& local_gate, const request_head& head, body_reader& body,
                                              response_writer& writer) {
    using namespace boost::asio::experimental::awaitable_operators;
    keyed_request request;
    request.slot = slot_of(head);
    request.key = scoped_key_of(head);
    request.holder = find_holder(request.slot);
    if (!request.holder) {
        co_return failed_exchange(error_kind::slot_moving,
                                  "this node does not hold the slot of the idempotency key");
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    const joiner_id joiner = next_joiner_.fetch_add(1);
    waiter_table<claim_completion>::registration ended_claim(joiners_, joiner, executor);
    request.decision = request.holder->decide(request.key, parse_send_mark(head), head.fingerprint, joiner);
    switch (request.decision.claim.action) {
        case claim_action::refuse:
            co_return make_claim_refusal(request.decision);
        case claim_action::replay:
            co_return co_await replay(request.decision.claim.answer, writer);
        case claim_action::run:
            co_return co_await run_claimed(local_gate, request, head, body, writer);
        case claim_action::join:
            break;
    }
    boost::asio::steady_timer deadline_timer(executor, head.deadline - clock_.now());
    auto ended = co_await (ended_claim.wait() || deadline_timer.async_wait(boost::asio::use_awaitable));
    if (ended.index() == 0) {
        co_return co_await answer_joiner(std::get<0>(std::move(ended)), writer);
    }
    ledger_.remove_joiner(request.slot, request.key, joiner);
    co_return failed_exchange(error_kind::target_timeout,
                              "the first request with this idempotency key is still running");
}

awaitable<exchange_result> claim_manager::run_claimed(gate& local_gate, const keyed_request& request,
                                                      const request_head& head, body_reader& body,
                                                      response_writer& writer) {
    claim_guard guard(ledger_, request.slot, request.key, request.decision.claim.token,
                      [this](const claim_completion& end) { notify_joiners(end); });
    const std::optional<target_identity> target = hooks_.choose_target(head.service);
    if (!target) {
        co_return failed_exchange(
            error_kind::no_target,
            "the holder of the idempotency key guards no target that can accept the request");
    }
    request_head targeted = head;
    targeted.target = *target;
    const write_permission permission = [&guard, &request] {
        const std::optional<write_permit> permit = request.holder->refresh_permit(request.decision.permit);
        if (!permit || !request.holder->may_write_now(*permit)) {
            return false;
        }
        guard.mark_write_permitted();
        return true;
    };
    answer_recorder recorder(writer, max_stored_answer_bytes);
    exchange_result result =
        co_await local_gate.exchange_with_permission(targeted, body, recorder, permission);
    guard.complete(result, recorder.answer());
    co_return result;
}

awaitable<exchange_result> claim_manager::replay(std::shared_ptr<const stored_answer> answer,
                                                 response_writer& writer) {
    if (!answer) {
        co_return make_answer_not_stored_result();
    }
    exchange_result result;
    result.head_written = true;
    bool written = (co_await writer.write_head(answer->head)).ok();
    if (written && !answer->body.empty()) {
        written = (co_await writer.write_body(std::as_bytes(std::span(answer->body)))).ok();
    }
    written = written && (co_await writer.finish()).ok();
    if (!written) {
        writer.abort();
        result.error = error_kind::cancelled;
    }
    co_return result;
}

awaitable<exchange_result> claim_manager::answer_joiner(claim_completion end, response_writer& writer) {
    if (end.execution == execution_state::run) {
        co_return co_await replay(end.answer, writer);
    }
    if (end.execution == execution_state::not_run) {
        co_return failed_exchange(
            error_kind::slot_moving,
            "the request with the same idempotency key that this one waited for was not executed");
    }
    co_return failed_exchange(
        error_kind::key_in_doubt,
        "the outcome of the request with the same idempotency key that this one waited for is unknown");
}

void claim_manager::notify_joiners(const claim_completion& end) {
    for (const joiner_id joiner : end.joiners) {
        joiners_.notify(joiner, end);
    }
}

std::optional<node_identity> claim_manager::holder_of(const request_head& head) const {
    const auto holders = holders_.read();
    const auto found = holders->find(slot_of(head));
    return found == holders->end() ? std::nullopt : std::optional<node_identity>(found->second);
}

std::size_t claim_manager::held_slots() const {
    const auto holders = holders_.read();
    std::size_t count = 0;
    for (const auto& [slot, holder] : *holders) {
        count += holder == self_ ? 1 : 0;
    }
    return count;
}

claim_manager::slot_state& claim_manager::slot_state_for(const slot_id& slot) {
    const std::lock_guard lock(mutex_);
    slot_state& entry = slots_[slot];
    if (!entry.holder) {
        entry.holder = std::make_shared<slot_holder>(clock_, options_, self_, slot, ledger_);
        entry.promises = std::make_unique<promise_collector>(clock_, options_, self_);
    }
    return entry;
}

std::shared_ptr<slot_holder> claim_manager::find_holder(const slot_id& slot) const {
    const std::lock_guard lock(mutex_);
    const auto found = slots_.find(slot);
    return found == slots_.end() ? nullptr : found->second.holder;
}

}  // namespace teaselpitch
