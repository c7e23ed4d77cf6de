// Callers and targets of the slot model: sends, runs and answers, and the checks of the protocol properties.
#include <algorithm>
#include <utility>

#include "tests/servers/claims/slot_model.h"

namespace teaselpitch {
namespace {

constexpr std::uint32_t keys_per_set = 3;
constexpr std::uint32_t sends_per_key_set = 20;

std::string key_name(std::uint32_t key) {
    return "key-" + std::to_string(key);
}

}  // namespace

std::size_t slot_model::make_send(std::uint32_t send_choice) {
    // New sets of keys replace older ones over time; half of the sends use the second newest set.
    const auto newest = static_cast<std::uint32_t>(sends_.size() / sends_per_key_set) * keys_per_set;
    const std::uint32_t key = newest + send_choice % (2 * keys_per_set);
    const std::uint64_t fingerprint = send_choice / (2 * keys_per_set) % 8 == 0 ? 2 : 1;
    // A caller may mark a send as a first send when every earlier send of the key was reported as not run.
    const bool first = std::all_of(sends_.begin(), sends_.end(), [key](const sent_request& earlier) {
        return earlier.key != key || earlier.reported_state == execution_state::not_run;
    });
    sends_.push_back({.key = key,
                      .fingerprint = fingerprint,
                      .mark = {first, latest_caller_epoch_},
                      .reported_state = {}});
    return sends_.size() - 1;
}

void slot_model::deliver_send(std::uint32_t index, model_node& host) {
    if (!delayed_sends_.empty()) {
        deliver_to_holder(remove_at(delayed_sends_, index % delayed_sends_.size()), host);
    }
}

bool slot_model::deliver_to_holder(std::size_t id, model_node& host) {
    const sent_request& sent = sends_[id];
    send_mark mark = sent.mark;
    mark.first_send = mark.first_send || !variant_.distinguishes_first_sends;
    slot_decision decision = host.holder->decide(key_name(sent.key), mark, sent.fingerprint, id);
    if (decision.slot_epoch != 0 && !variant_.requires_epoch_of_first_sends) {
        mark.slot_epoch = decision.slot_epoch;
        decision = host.holder->decide(key_name(sent.key), mark, sent.fingerprint, id);
    }
    latest_caller_epoch_ = std::max(latest_caller_epoch_, decision.slot_epoch);
    switch (decision.claim.action) {
        case claim_action::run:
            runs_.push_back({.send = id, .host_node = host.self, .decision = decision});
            return true;
        case claim_action::replay:
            check_replay(id, decision.claim);
            return false;
        case claim_action::refuse:
            report_to_caller(id, get_error_answer(decision.claim.error).execution);
            return false;
        case claim_action::join:
            return false;
    }
    return false;
}

void slot_model::send_and_write(std::uint32_t send_choice, model_node& host, std::uint32_t choice) {
    if (!deliver_to_holder(make_send(send_choice), host)) {
        return;
    }
    const auto index = static_cast<std::uint32_t>(runs_.size() - 1);
    check_permit(index);
    if (runs_.size() != index + 1) {
        return;
    }
    final_check(index);
    if (runs_.size() == index + 1) {
        write(index);
        end_run(index, choice);
    }
}

void slot_model::check_permit(std::uint32_t index) {
    if (runs_.empty()) {
        return;
    }
    target_run& run = runs_[index % runs_.size()];
    if (run.phase != run_phase::claimed) {
        return;
    }
    const auto permit = find(run.host_node)->holder->refresh_permit(run.decision.permit);
    if (permit) {
        run.decision.permit = *permit;
    } else if (variant_.checks_before_write) {
        abandon_run(index % runs_.size());
    }
}

void slot_model::final_check(std::uint32_t index) {
    if (runs_.empty()) {
        return;
    }
    target_run& run = runs_[index % runs_.size()];
    if (run.phase != run_phase::claimed) {
        return;
    }
    if (variant_.checks_before_write && !find(run.host_node)->holder->may_write_now(run.decision.permit)) {
        return abandon_run(index % runs_.size());
    }
    run.phase = run_phase::checked;
    run.checked_at = elapsed_;
}

void slot_model::write(std::uint32_t index) {
    if (runs_.empty()) {
        return;
    }
    target_run& run = runs_[index % runs_.size()];
    if (run.phase != run_phase::checked) {
        return;
    }
    // The protocol assumes that no pause between the final check and the write is longer than the margin.
    if (elapsed_ - run.checked_at > variant_.settings.margin) {
        return abandon_run(index % runs_.size());
    }
    start_execution(run);
}

void slot_model::start_execution(target_run& run) {
    sent_request& send = sends_[run.send];
    for (const execution& earlier : executions_) {
        if (earlier.key == send.key &&
            (!earlier.end || elapsed_ <= *earlier.end + variant_.settings.retention)) {
            record_violation(key_name(send.key) + " ran twice");
        }
    }
    if (send.reported_state == execution_state::not_run) {
        record_violation("a send ran after not-run was reported to its caller");
    }
    send.executed = true;
    run.phase = run_phase::executing;
    run.execution = executions_.size();
    executions_.push_back({.key = send.key, .fingerprint = send.fingerprint, .start = elapsed_, .end = {}});
}

void slot_model::end_run(std::uint32_t index, std::uint32_t outcome) {
    if (runs_.empty() || runs_[index % runs_.size()].phase != run_phase::executing) {
        return;
    }
    executions_[runs_[index % runs_.size()].execution].end = elapsed_;
    finish_run(index % runs_.size(), outcome);
}

void slot_model::finish_run(std::size_t index, std::uint32_t outcome) {
    const target_run run = remove_at(runs_, index);
    claim_ledger& ledger = *find(run.host_node)->ledger;
    const std::string key = key_name(sends_[run.send].key);
    const claim_token token = run.decision.claim.token;
    if (outcome % 4 == 1) {
        report_to_caller(run.send, execution_state::unknown);
        return report_to_joiners(ledger.finish_unknown(test_slot, key, token));
    }
    report_to_caller(run.send, execution_state::run);
    if (outcome % 4 == 2) {
        return report_to_joiners(ledger.finish_without_answer(test_slot, key, token));
    }
    stored_answer answer;
    answer.body = std::to_string(run.execution);
    report_to_joiners(ledger.finish(test_slot, key, token, std::move(answer)));
}

void slot_model::abandon_run(std::size_t index) {
    const target_run run = remove_at(runs_, index);
    report_to_caller(run.send, execution_state::not_run);
    report_to_joiners(
        find(run.host_node)
            ->ledger->finish_not_run(test_slot, key_name(sends_[run.send].key), run.decision.claim.token));
}

void slot_model::report_to_caller(std::size_t send, execution_state state) {
    sends_[send].reported_state = state;
    if (state == execution_state::not_run && sends_[send].executed) {
        record_violation("not-run was reported to a caller after its send ran");
    }
}

void slot_model::report_to_joiners(const claim_completion& end) {
    for (const joiner_id joiner : end.joiners) {
        report_to_caller(joiner, end.execution);
        if (end.answer) {
            check_replay(joiner, {.action = claim_action::replay, .answer = end.answer});
        }
    }
}

void slot_model::check_replay(std::size_t send, const claim_decision& decision) {
    ++replays_;
    const sent_request& request = sends_[send];
    const bool matches_execution =
        std::any_of(executions_.begin(), executions_.end(), [&](const execution& run) {
            const bool same = run.key == request.key && run.fingerprint == request.fingerprint;
            const auto id = static_cast<std::size_t>(&run - executions_.data());
            return same && (!decision.answer || decision.answer->body == std::to_string(id));
        });
    if (!matches_execution) {
        record_violation("a replayed answer does not belong to its key and request");
    }
    report_to_caller(send, execution_state::run);
}

}  // namespace teaselpitch
