#include "servers/claims/slot_holder.h"

#include <algorithm>
#include <string>
#include <utility>

namespace teaselpitch {

using std::chrono::milliseconds;
using std::chrono::nanoseconds;

slot_holder::slot_holder(const time_source& clock, const slot_options& options, node_identity self,
                         slot_id slot, claim_ledger& ledger)
    : clock_(clock), options_(options), self_(std::move(self)), slot_(std::move(slot)), ledger_(ledger) {}

slot_decision slot_holder::decide(std::string_view key, const send_mark& mark, std::uint64_t fingerprint,
                                  joiner_id joiner) {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    const slot_state state = state_at(now);
    if (state != slot_state::serving && state != slot_state::first_sends_only) {
        return replay_or_refuse(key, fingerprint, error_kind::slot_moving);
    }
    const bool is_current_first_send = mark.first_send && mark.slot_epoch == term_first_epoch_;
    if (state == slot_state::first_sends_only && !is_current_first_send) {
        const claim_decision found = ledger_.find(slot_, key, fingerprint);
        if (found.action == claim_action::refuse && found.error == error_kind::none) {
            return refuse_unknown_key(mark);
        }
    }
    return {ledger_.claim(slot_, key, fingerprint, joiner), {term_, now}};
}

slot_decision slot_holder::refuse_unknown_key(const send_mark& mark) const {
    if (!mark.first_send) {
        return {.claim = {.error = error_kind::key_in_doubt}};
    }
    return {.claim = {.error = error_kind::slot_moving}, .slot_epoch = term_first_epoch_};
}

slot_decision slot_holder::replay_or_refuse(std::string_view key, std::uint64_t fingerprint,
                                            error_kind kind) const {
    claim_decision found = ledger_.find(slot_, key, fingerprint);
    if (found.action == claim_action::replay) {
        return {.claim = std::move(found)};
    }
    return {.claim = {.error = kind}};
}

std::optional<write_permit> slot_holder::refresh_permit(const write_permit& earlier) const {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    if (!can_write(earlier.term, now)) {
        return std::nullopt;
    }
    return write_permit{earlier.term, now};
}

bool slot_holder::may_write_now(const write_permit& permit) const {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    return can_write(permit.term, now) && now - permit.checked_at <= options_.margin;
}

bool slot_holder::can_write(std::uint64_t term, steady_time now) const {
    return is_holder_ && term == term_ && !exported_ && now <= fresh_until_;
}

void slot_holder::on_assignment(const slot_assignment& assignment) {
    const std::lock_guard lock(mutex_);
    if (assignment.epoch <= epoch_) {
        return;
    }
    const bool continues_term =
        is_holder_ && assignment.holder == self_ && !assignment.reset && assignment.previous_epoch == epoch_;
    epoch_ = assignment.epoch;
    unresolved_appends_ = 0;
    if (continues_term) {
        term_ += exported_ ? 1 : 0;
        handing_over_ = false;
        exported_ = false;
        return;
    }
    ++term_;
    handing_over_ = false;
    exported_ = false;
    is_holder_ = assignment.holder == self_;
    if (is_holder_) {
        begin_term(assignment, clock_.now());
    }
    imported_.reset();
}

void slot_holder::begin_term(const slot_assignment& assignment, steady_time now) {
    term_first_epoch_ = assignment.epoch;
    serve_from_ = now;
    all_keys_known_from_ = now;
    if (assignment.previous_epoch == 0 && !assignment.reset) {
        return;  // The slot had no earlier holder.
    }
    if (assignment.planned && imported_ && imported_->epoch == assignment.previous_epoch) {
        all_keys_known_from_ = imported_->all_keys_known_from;
        return;
    }
    serve_from_ = now + options_.takeover_wait;
    all_keys_known_from_ = now + options_.first_sends_window;
}

void slot_holder::on_fresh_log_read(steady_time issued_at) {
    const std::lock_guard lock(mutex_);
    fresh_until_ = std::max(fresh_until_, issued_at + options_.lease);
}

void slot_holder::on_candidates_promised(std::uint64_t epoch, steady_time requested_at) {
    const std::lock_guard lock(mutex_);
    if (epoch != epoch_ || unresolved_appends_ > 0) {
        return;
    }
    fresh_until_ = std::max(fresh_until_, requested_at + options_.lease);
}

void slot_holder::begin_own_append() {
    const std::lock_guard lock(mutex_);
    ++unresolved_appends_;
}

void slot_holder::on_own_append_not_sent(std::uint64_t epoch) {
    const std::lock_guard lock(mutex_);
    if (epoch == epoch_ && unresolved_appends_ > 0) {
        --unresolved_appends_;
    }
}

bool slot_holder::begin_hand_over() {
    const std::lock_guard lock(mutex_);
    const slot_state state = state_at(clock_.now());
    if (state != slot_state::serving && state != slot_state::first_sends_only) {
        return false;
    }
    handing_over_ = true;
    return true;
}

std::optional<wire::SlotClaims> slot_holder::export_claims() {
    const std::lock_guard lock(mutex_);
    if (!is_holder_ || !handing_over_) {
        return std::nullopt;
    }
    exported_ = true;
    wire::SlotClaims claims = ledger_.export_slot(slot_);
    claims.set_epoch(epoch_);
    *claims.mutable_holder() = to_wire(self_);
    const nanoseconds unknown_keys_for = std::max(all_keys_known_from_ - clock_.now(), nanoseconds{0});
    claims.set_first_sends_only_ms(
        static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(unknown_keys_for).count()));
    return claims;
}

absl::Status slot_holder::import_claims(const wire::SlotClaims& claims) {
    const std::lock_guard lock(mutex_);
    if (slot_id{claims.service(), claims.slot()} != slot_) {
        return absl::InvalidArgumentError("The claims belong to another slot.");
    }
    if (claims.epoch() < epoch_ || is_holder_) {
        return absl::FailedPreconditionError("The claims are of epoch " + std::to_string(claims.epoch()) +
                                             ", the slot is at epoch " + std::to_string(epoch_) + ".");
    }
    if (absl::Status imported = ledger_.import_slot(claims); !imported.ok()) {
        return imported;
    }
    const auto remaining = nanoseconds(milliseconds(claims.first_sends_only_ms()));
    const auto stretched = nanoseconds(
        static_cast<std::int64_t>(static_cast<double>(remaining.count()) * options_.clock_stretch_factor));
    imported_ = {claims.epoch(), clock_.now() + stretched};
    return absl::OkStatus();
}

slot_state slot_holder::state() const {
    const std::lock_guard lock(mutex_);
    return state_at(clock_.now());
}

std::uint64_t slot_holder::epoch() const {
    const std::lock_guard lock(mutex_);
    return epoch_;
}

slot_state slot_holder::state_at(steady_time now) const {
    if (!is_holder_) {
        return slot_state::not_holder;
    }
    if (handing_over_) {
        return slot_state::handing_over;
    }
    if (now < serve_from_) {
        return slot_state::waiting;
    }
    if (now > fresh_until_) {
        return slot_state::stale;
    }
    return now < all_keys_known_from_ ? slot_state::first_sends_only : slot_state::serving;
}

}  // namespace teaselpitch
