// The callers and targets of the model: sends, runs, answers, and the properties they must keep.
#include <algorithm>
#include <utility>

#include "tests/servers/claims/slot_model.h"

namespace teaselpitch {
namespace {

constexpr std::uint32_t keys_at_once = 3;
constexpr std::uint32_t sends_per_key_set = 20;

std::string key_name(std::uint32_t key) {
    return "key-" + std::to_string(key);
}

}  // namespace

std::size_t slot_model::make_send(std::uint32_t what) {
    // New keys replace the older ones over time; half of the sends use the set of keys before the newest.
    const auto newest = static_cast<std::uint32_t>(sends_.size() / sends_per_key_set) * keys_at_once;
    const std::uint32_t key = newest + what % (2 * keys_at_once);
    const std::uint64_t fingerprint = what / (2 * keys_at_once) % 8 == 0 ? 2 : 1;
    // A caller may mark a send as the first one when it knows that every earlier send was not run.
    const bool first = std::all_of(sends_.begin(), sends_.end(), [key](const sent_request& earlier) {
        return earlier.key != key || earlier.told == execution_state::not_run;
    });
    sends_.push_back({.key = key, .fingerprint = fingerprint, .mark = {first, callers_epoch_}, .told = {}});
    return sends_.size() - 1;
}

void slot_model::deliver_send(std::uint32_t index, node& place) {
    if (!late_sends_.empty()) {
        arrive(take(late_sends_, index % late_sends_.size()), place);
    }
}

bool slot_model::arrive(std::size_t id, node& place) {
    const sent_request& sent = sends_[id];
    send_mark mark = sent.mark;
    mark.first = mark.first || !scheme_.distinguishes_first_sends;
    slot_decision decision = place.holder->decide(key_name(sent.key), mark, sent.fingerprint, id);
    if (decision.slot_epoch != 0 && !scheme_.wants_epoch_of_first_sends) {
        mark.slot_epoch = decision.slot_epoch;
        decision = place.holder->decide(key_name(sent.key), mark, sent.fingerprint, id);
    }
    callers_epoch_ = std::max(callers_epoch_, decision.slot_epoch);
    switch (decision.claim.action) {
        case claim_action::run:
            runs_.push_back({.send = id, .where = place.self, .decision = decision});
            return true;
        case claim_action::replay:
            check_replay(id, decision.claim);
            return false;
        case claim_action::refuse:
            tell(id, get_error_answer(decision.claim.error).execution);
            return false;
        case claim_action::join:
            return false;
    }
    return false;
}

void slot_model::send_and_write(std::uint32_t what, node& place, std::uint32_t choice) {
    if (!arrive(make_send(what), place)) {
        return;
    }
    const auto index = static_cast<std::uint32_t>(runs_.size() - 1);
    check(index);
    if (runs_.size() != index + 1) {
        return;
    }
    look(index);
    if (runs_.size() == index + 1) {
        write(index);
        end_run(index, choice);
    }
}

void slot_model::check(std::uint32_t index) {
    if (runs_.empty()) {
        return;
    }
    target_run& run = runs_[index % runs_.size()];
    if (run.phase != run_phase::claimed) {
        return;
    }
    const auto permit = find(run.where)->holder->check_write(run.decision.permit);
    if (permit) {
        run.decision.permit = *permit;
    } else if (scheme_.looks_before_write) {
        abandon(index % runs_.size());
    }
}

void slot_model::look(std::uint32_t index) {
    if (runs_.empty()) {
        return;
    }
    target_run& run = runs_[index % runs_.size()];
    if (run.phase != run_phase::claimed) {
        return;
    }
    if (scheme_.looks_before_write && !find(run.where)->holder->may_write_now(run.decision.permit)) {
        return abandon(index % runs_.size());
    }
    run.phase = run_phase::looked;
    run.looked_at = real_;
}

void slot_model::write(std::uint32_t index) {
    if (runs_.empty()) {
        return;
    }
    target_run& run = runs_[index % runs_.size()];
    if (run.phase != run_phase::looked) {
        return;
    }
    // The scheme assumes that no pause between the last look and the write is longer than the margin.
    if (real_ - run.looked_at > scheme_.settings.margin) {
        return abandon(index % runs_.size());
    }
    execute(run);
}

void slot_model::execute(target_run& run) {
    sent_request& send = sends_[run.send];
    for (const execution& earlier : executions_) {
        if (earlier.key == send.key && (!earlier.end || real_ <= *earlier.end + scheme_.settings.retention)) {
            fail(key_name(send.key) + " ran twice");
        }
    }
    if (send.told == execution_state::not_run) {
        fail("a send ran after its caller was told not-run");
    }
    send.executed = true;
    run.phase = run_phase::executing;
    run.execution = executions_.size();
    executions_.push_back({.key = send.key, .fingerprint = send.fingerprint, .start = real_, .end = {}});
}

void slot_model::end_run(std::uint32_t index, std::uint32_t outcome) {
    if (runs_.empty() || runs_[index % runs_.size()].phase != run_phase::executing) {
        return;
    }
    executions_[runs_[index % runs_.size()].execution].end = real_;
    finish(index % runs_.size(), outcome);
}

void slot_model::finish(std::size_t index, std::uint32_t outcome) {
    const target_run run = take(runs_, index);
    claim_ledger& ledger = *find(run.where)->ledger;
    const std::string key = key_name(sends_[run.send].key);
    const claim_token token = run.decision.claim.token;
    if (outcome % 4 == 1) {
        tell(run.send, execution_state::unknown);
        return tell_joiners(ledger.end_unknown(the_slot, key, token));
    }
    tell(run.send, execution_state::run);
    if (outcome % 4 == 2) {
        return tell_joiners(ledger.finish_without_answer(the_slot, key, token));
    }
    stored_answer answer;
    answer.body = std::to_string(run.execution);
    tell_joiners(ledger.finish(the_slot, key, token, std::move(answer)));
}

void slot_model::abandon(std::size_t index) {
    const target_run run = take(runs_, index);
    tell(run.send, execution_state::not_run);
    tell_joiners(find(run.where)->ledger->end_not_run(the_slot, key_name(sends_[run.send].key),
                                                      run.decision.claim.token));
}

void slot_model::tell(std::size_t send, execution_state state) {
    sends_[send].told = state;
    if (state == execution_state::not_run && sends_[send].executed) {
        fail("a caller was told not-run after its send ran");
    }
}

void slot_model::tell_joiners(const claim_end& end) {
    for (const joiner_id joiner : end.joiners) {
        tell(joiner, end.execution);
        if (end.answer) {
            check_replay(joiner, {.action = claim_action::replay, .answer = end.answer});
        }
    }
}

void slot_model::check_replay(std::size_t send, const claim_decision& decision) {
    ++replays_;
    const sent_request& asked = sends_[send];
    const bool right = std::any_of(executions_.begin(), executions_.end(), [&](const execution& run) {
        const bool same = run.key == asked.key && run.fingerprint == asked.fingerprint;
        const auto id = static_cast<std::size_t>(&run - executions_.data());
        return same && (!decision.answer || decision.answer->body == std::to_string(id));
    });
    if (!right) {
        fail("a replayed answer is not that of its key");
    }
    tell(send, execution_state::run);
}

}  // namespace teaselpitch
