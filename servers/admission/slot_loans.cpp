#include "servers/admission/slot_loans.h"

#include <algorithm>

namespace teaselpitch {
namespace {

constexpr std::size_t max_remembered = 1'024;

}  // namespace

slot_loans::slot_loans(const time_source& clock, const slot_loan_options& options)
    : clock_(clock),
      options_(options),
      gave_way_(options.memory, max_remembered),
      long_answers_(options.memory, max_remembered) {}

void slot_loans::lend(ticket_id ticket, caller_id caller) {
    const std::lock_guard lock(mutex_);
    loans_.emplace(ticket, loan{.caller = caller});
    count_.store(loans_.size(), std::memory_order_relaxed);
}

void slot_loans::begin_wait(ticket_id ticket) {
    const std::lock_guard lock(mutex_);
    const auto found = loans_.find(ticket);
    if (found != loans_.end() && found->second.waits++ == 0) {
        found->second.waiting_since = clock_.now();
    }
}

void slot_loans::end_wait(ticket_id ticket, std::size_t bytes) {
    const std::lock_guard lock(mutex_);
    const auto found = loans_.find(ticket);
    if (found == loans_.end() || found->second.waits == 0) {
        return;
    }
    loan& entry = found->second;
    const steady_time now = clock_.now();
    const std::chrono::nanoseconds waited = now - entry.waiting_since;
    const std::chrono::nanoseconds justified =
        std::chrono::nanoseconds(std::chrono::seconds(1)) * bytes / options_.min_bytes_per_s;
    entry.waiting_since = now;
    --entry.waits;
    entry.waited += waited;
    entry.overdue = std::max(entry.overdue + waited - justified, std::chrono::nanoseconds{0});
}

void slot_loans::end(ticket_id ticket) {
    const std::lock_guard lock(mutex_);
    loans_.erase(ticket);
    count_.store(loans_.size(), std::memory_order_relaxed);
}

std::optional<reclaimed_slot> slot_loans::reclaim(std::uint32_t slots, std::size_t waiting) {
    const std::lock_guard lock(mutex_);
    const std::uint32_t lent = lent_locked();
    if (loans_.size() - lent >= waiting) {
        return std::nullopt;  // A slot that is being reclaimed is enough for each waiting request.
    }
    const bool over_share = others_ask() && lent > lendable(slots);
    const steady_time now = clock_.now();
    auto best = loans_.end();
    std::optional<claim> best_claim;
    for (auto it = loans_.begin(); it != loans_.end(); ++it) {
        const std::optional<claim> current = claim_on(it->second, over_share, now);
        // The older loan goes first among equal ones.
        if (current &&
            (!best_claim || *current > *best_claim || (*current == *best_claim && it->first < best->first))) {
            best = it;
            best_claim = current;
        }
    }
    if (best == loans_.end()) {
        return std::nullopt;
    }
    best->second.reclaimed = true;
    if (best->second.caller != 0) {
        gave_way_.add(best->second.caller, now);
    }
    const reclaim_reason reason = best_claim->slow ? reclaim_reason::slow_caller : reclaim_reason::share;
    ++reclaimed_[static_cast<std::size_t>(reason)];
    return reclaimed_slot{best->first, reason};
}

std::optional<slot_loans::claim> slot_loans::claim_on(const loan& entry, bool over_share,
                                                      steady_time now) const {
    if (entry.reclaimed || entry.waits == 0) {
        return std::nullopt;
    }
    const std::chrono::nanoseconds current = now - entry.waiting_since;
    const auto patience =
        gave_way_.contains(entry.caller, now) ? options_.repeated_patience : options_.patience;
    const bool slow = entry.overdue + current >= patience;
    const std::chrono::nanoseconds waited = entry.waited + current;
    if (!slow && !(over_share && waited >= options_.share_patience)) {
        return std::nullopt;
    }
    return claim{.slow = slow, .slots_of_caller = lent_locked(entry.caller), .waited = waited};
}

bool slot_loans::try_admit(std::uint32_t slots) {
    const std::lock_guard lock(mutex_);
    if (!others_ask() || lent_locked() < lendable(slots)) {
        return true;
    }
    ++refused_;
    return false;
}

void slot_loans::note_long_answer(std::uint64_t fingerprint) {
    if (fingerprint == 0) {
        return;
    }
    const std::lock_guard lock(mutex_);
    long_answers_.add(fingerprint, clock_.now());
}

bool slot_loans::expects_long_answer(std::uint64_t fingerprint) const {
    const std::lock_guard lock(mutex_);
    return long_answers_.contains(fingerprint, clock_.now());
}

bool slot_loans::gave_way(caller_id caller) const {
    const std::lock_guard lock(mutex_);
    return gave_way_.contains(caller, clock_.now());
}

slot_loan_load slot_loans::load() const {
    const std::lock_guard lock(mutex_);
    slot_loan_load result;
    result.lent = lent_locked();
    result.refused = refused_;
    result.reclaimed = reclaimed_;
    const steady_time now = clock_.now();
    absl::flat_hash_map<caller_id, std::uint32_t> by_caller;
    for (const auto& [ticket, entry] : loans_) {
        result.most_by_one_caller = std::max(result.most_by_one_caller, ++by_caller[entry.caller]);
        const std::chrono::nanoseconds current =
            entry.waits > 0 ? now - entry.waiting_since : std::chrono::nanoseconds{0};
        result.longest_wait = std::max(result.longest_wait, entry.waited + current);
    }
    result.callers = static_cast<std::uint32_t>(by_caller.size());
    return result;
}

// The only slot of a target may be lent: otherwise requests that need a loan could never run there.
std::uint32_t slot_loans::lendable(std::uint32_t slots) const {
    const auto kept = static_cast<std::uint32_t>(slots * options_.kept_share);
    return slots < 2 || options_.kept_share <= 0 ? slots : slots - std::max(kept, 1U);
}

bool slot_loans::others_ask() const {
    const steady_time last = last_other_request_.load(std::memory_order_relaxed);
    return last != steady_time{} && clock_.now() - last < options_.memory;
}

std::uint32_t slot_loans::lent_locked(std::optional<caller_id> caller) const {
    return static_cast<std::uint32_t>(std::count_if(loans_.begin(), loans_.end(), [&](const auto& entry) {
        return !entry.second.reclaimed && (!caller || entry.second.caller == *caller);
    }));
}

}  // namespace teaselpitch
