#include "modules/node/claim_keeper.h"

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

constexpr std::size_t max_kept_answer_bytes = 16 * 1024;

/// Ends a claim on every way out. A run that is cut short counts as unknown once its first byte was
/// permitted.
class claim_guard {
public:
    claim_guard(claim_ledger& ledger, const slot_id& slot, const std::string& key, claim_token token,
                std::function<void(const claim_completion&)> tell)
        : ledger_(ledger), slot_(slot), key_(key), token_(token), tell_(std::move(tell)) {}
    claim_guard(const claim_guard&) = delete;
    claim_guard& operator=(const claim_guard&) = delete;
    ~claim_guard() {
        if (!ended_) {
            tell_(written_ ? ledger_.finish_unknown(slot_, key_, token_)
                           : ledger_.finish_not_run(slot_, key_, token_));
        }
    }

    void set_written() { written_ = true; }

    void end(const exchange_result& result, const std::optional<stored_answer>& answer) {
        ended_ = true;
        if (result.error == error_kind::none) {
            tell_(answer ? ledger_.finish(slot_, key_, token_, *answer)
                         : ledger_.finish_without_answer(slot_, key_, token_));
        } else if (result.execution == execution_state::not_run) {
            tell_(ledger_.finish_not_run(slot_, key_, token_));
        } else {
            tell_(ledger_.finish_unknown(slot_, key_, token_));
        }
    }

private:
    claim_ledger& ledger_;
    const slot_id slot_;
    const std::string key_;
    const claim_token token_;
    const std::function<void(const claim_completion&)> tell_;
    bool written_ = false;
    bool ended_ = false;
};

std::string scoped_key_of(const request_head& head) {
    return scoped_key(head.account, head.idempotency_key);
}

slot_id slot_of(const request_head& head) {
    return {head.service, slot_of_key(scoped_key_of(head))};
}

// A caller whose first send was refused repeats it with the epoch that the refusal named.
send_mark mark_of(const request_head& head) {
    send_mark mark{.first_send = head.first_send, .slot_epoch = 0};
    if (const auto text = find_header(head.headers, "Teaselpitch-Slot-Epoch")) {
        const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), mark.slot_epoch);
        if (error != std::errc{} || end != text->data() + text->size()) {
            mark.slot_epoch = 0;
        }
    }
    return mark;
}

exchange_result refuse_claim(const slot_decision& decision) {
    exchange_result result = failed_exchange(decision.claim.error, "the holder of the key refuses it");
    result.slot_epoch = decision.slot_epoch;
    return result;
}

exchange_result run_without_kept_answer() {
    exchange_result result =
        failed_exchange(error_kind::key_in_doubt, "the request ran; its answer was not kept");
    result.execution = execution_state::run;
    return result;
}

}  // namespace

claim_keeper::claim_keeper(const time_source& clock, const slot_settings& settings,
                           const claim_options& claims, node_identity self, claim_keeper_hooks hooks)
    : clock_(clock),
      options_(make_slot_options(settings)),
      self_(std::move(self)),
      hooks_(std::move(hooks)),
      ledger_(clock, claims),
      promises_(clock, options_, self_),
      policy_(clock, takeover_options{}, self_),
      holders_(std::make_shared<const holder_map>()) {}

void claim_keeper::on_assignments(const slot_map& slots, std::span<const slot_assignment> changed) {
    for (const slot_assignment& assignment : changed) {
        held_slot& entry = slot_entry(assignment.slot);
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

void claim_keeper::on_fresh_log_read(steady_time issued_at) {
    for (auto& [slot, entry] : slots_) {
        entry.holder->on_fresh_log_read(issued_at);
    }
}

void claim_keeper::on_places(const std::string& service, std::vector<eligible_node> places) {
    policy_.on_eligible_nodes(service, std::move(places));
}

void claim_keeper::on_alive_nodes(const std::vector<node_identity>& alive) {
    policy_.on_alive_nodes(alive);
}

void claim_keeper::on_promise_reply(const wire::PromiseReply& reply) {
    held_slot& entry = slot_entry({reply.service(), reply.slot()});
    entry.promises->on_reply(reply);
    if (const std::optional<steady_time> since = entry.promises->oldest_promise_time()) {
        entry.holder->on_candidates_promised(entry.promises->epoch(), *since);
    }
}

wire::PromiseReply claim_keeper::on_promise_request(const wire::PromiseRequest& request) {
    return promises_.on_request(request);
}

absl::Status claim_keeper::on_hand_over(const wire::HandOver& message) {
    const slot_assignment next = from_wire(message.next());
    if (next.holder != self_) {
        return absl::FailedPreconditionError("the hand-over is for another incarnation");
    }
    if (absl::Status imported = slot_entry(next.slot).holder->import_claims(message.claims());
        !imported.ok()) {
        return imported;
    }
    wire::SlotChange change;
    *change.mutable_appender() = to_wire(self_);
    *change.add_assignments() = message.next();
    hooks_.append(std::move(change));
    return absl::OkStatus();
}

void claim_keeper::set_draining() {
    policy_.set_draining();
}

void claim_keeper::on_tick(const slot_map& slots, bool log_is_fresh) {
    ledger_.on_tick();
    wire::SlotChange batch;
    for (const slot_change& change : policy_.on_tick(slots)) {
        start_change(change, batch);
    }
    if (batch.assignments_size() > 0) {
        *batch.mutable_appender() = to_wire(self_);
        hooks_.append(std::move(batch));
    }
    finish_hand_overs();
    if (log_is_fresh) {
        return;
    }
    // Without news from the log the holder goes on only while every candidate promises not to take over.
    for (auto& [slot, entry] : slots_) {
        for (wire::PromiseRequest& request : entry.promises->make_requests()) {
            hooks_.request_promise(std::move(request));
        }
        if (const std::optional<steady_time> since = entry.promises->oldest_promise_time()) {
            entry.holder->on_candidates_promised(entry.promises->epoch(), *since);
        }
    }
}

void claim_keeper::start_change(const slot_change& change, wire::SlotChange& batch) {
    held_slot& entry = slot_entry(change.next.slot);
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

void claim_keeper::start_hand_over(const slot_change& change) {
    if (slot_entry(change.next.slot).holder->begin_hand_over()) {
        handing_over_.push_back(change);
    }
}

void claim_keeper::finish_hand_overs() {
    std::erase_if(handing_over_, [this](const slot_change& change) {
        if (ledger_.running_count(change.next.slot) > 0) {
            return false;
        }
        if (std::optional<wire::SlotClaims> claims = slot_entry(change.next.slot).holder->export_claims()) {
            wire::HandOver message;
            *message.mutable_claims() = std::move(*claims);
            *message.mutable_next() = to_wire(change.next);
            hooks_.hand_over(change.successor, std::move(message));
        }
        return true;
    });
}

awaitable<exchange_result> claim_keeper::run(gate& entry, const request_head& head, body_reader& body,
                                             response_writer& writer) {
    using namespace boost::asio::experimental::awaitable_operators;
    keyed_request request;
    request.slot = slot_of(head);
    request.key = scoped_key_of(head);
    request.holder = find_holder(request.slot);
    if (!request.holder) {
        co_return failed_exchange(error_kind::slot_moving, "this node does not hold the key's slot");
    }
    const auto executor = co_await boost::asio::this_coro::executor;
    const joiner_id joiner = next_joiner_.fetch_add(1);
    waiter_table<claim_completion>::registration place(joiners_, joiner, executor);
    request.decision = request.holder->decide(request.key, mark_of(head), head.fingerprint, joiner);
    switch (request.decision.claim.action) {
        case claim_action::refuse:
            co_return refuse_claim(request.decision);
        case claim_action::replay:
            co_return co_await replay(request.decision.claim.answer, writer);
        case claim_action::run:
            co_return co_await run_claimed(entry, request, head, body, writer);
        case claim_action::join:
            break;
    }
    boost::asio::steady_timer limit(executor, head.deadline - clock_.now());
    auto ended = co_await (place.wait() || limit.async_wait(boost::asio::use_awaitable));
    if (ended.index() == 0) {
        co_return co_await answer_joiner(std::get<0>(std::move(ended)), writer);
    }
    ledger_.remove_joiner(request.slot, request.key, joiner);
    co_return failed_exchange(error_kind::target_timeout, "the first send of the key is still running");
}

awaitable<exchange_result> claim_keeper::run_claimed(gate& entry, const keyed_request& request,
                                                     const request_head& head, body_reader& body,
                                                     response_writer& writer) {
    claim_guard guard(ledger_, request.slot, request.key, request.decision.claim.token,
                      [this](const claim_completion& end) { tell_joiners(end); });
    const std::optional<target_identity> target = hooks_.choose_target(head.service);
    if (!target) {
        co_return failed_exchange(error_kind::no_target,
                                  "the holder guards no target that can take the request");
    }
    request_head own = head;
    own.target = *target;
    const write_permission permission = [&guard, &request] {
        const std::optional<write_permit> permit = request.holder->refresh_permit(request.decision.permit);
        if (!permit || !request.holder->may_write_now(*permit)) {
            return false;
        }
        guard.set_written();
        return true;
    };
    answer_recorder recorder(writer, max_kept_answer_bytes);
    exchange_result result = co_await entry.exchange_if(own, body, recorder, permission);
    guard.end(result, recorder.answer());
    co_return result;
}

awaitable<exchange_result> claim_keeper::replay(std::shared_ptr<const stored_answer> answer,
                                                response_writer& writer) {
    if (!answer) {
        co_return run_without_kept_answer();
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

awaitable<exchange_result> claim_keeper::answer_joiner(claim_completion end, response_writer& writer) {
    if (end.execution == execution_state::run) {
        co_return co_await replay(end.answer, writer);
    }
    if (end.execution == execution_state::not_run) {
        co_return failed_exchange(error_kind::slot_moving, "the send that this one joined was not run");
    }
    co_return failed_exchange(error_kind::key_in_doubt,
                              "the outcome of the send that this one joined is unknown");
}

void claim_keeper::tell_joiners(const claim_completion& end) {
    for (const joiner_id joiner : end.joiners) {
        joiners_.notify(joiner, end);
    }
}

std::optional<node_identity> claim_keeper::holder_of(const request_head& head) const {
    const auto holders = holders_.read();
    const auto found = holders->find(slot_of(head));
    return found == holders->end() ? std::nullopt : std::optional<node_identity>(found->second);
}

std::size_t claim_keeper::held_slots() const {
    const auto holders = holders_.read();
    std::size_t count = 0;
    for (const auto& [slot, holder] : *holders) {
        count += holder == self_ ? 1 : 0;
    }
    return count;
}

claim_keeper::held_slot& claim_keeper::slot_entry(const slot_id& slot) {
    const std::lock_guard lock(mutex_);
    held_slot& entry = slots_[slot];
    if (!entry.holder) {
        entry.holder = std::make_shared<slot_holder>(clock_, options_, self_, slot, ledger_);
        entry.promises = std::make_unique<promise_collector>(clock_, options_, self_);
    }
    return entry;
}

std::shared_ptr<slot_holder> claim_keeper::find_holder(const slot_id& slot) const {
    const std::lock_guard lock(mutex_);
    const auto found = slots_.find(slot);
    return found == slots_.end() ? nullptr : found->second.holder;
}

}  // namespace teaselpitch
