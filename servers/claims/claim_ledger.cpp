#include "servers/claims/claim_ledger.h"

#include <algorithm>
#include <utility>

#include "servers/claims/stored_answer_codec.h"

namespace teaselpitch {
namespace {

// Memory of a claim without its key; teaselpitch-bench-claims measured 173 to 176 bytes in total for keys of
// 36 bytes.
constexpr std::size_t claim_overhead_bytes = 140;

std::size_t claim_bytes(std::string_view key) {
    return claim_overhead_bytes + key.size();
}

claim_decision make_refusal(error_kind error) {
    return {.action = claim_action::refuse, .error = error};
}

}  // namespace

claim_ledger::claim_ledger(const time_source& clock, const claim_options& options)
    : clock_(clock), options_(options) {}

claim_decision claim_ledger::claim(const slot_id& slot, std::string_view key, std::uint64_t fingerprint,
                                   joiner_id joiner) {
    const std::lock_guard lock(mutex_);
    entry* found = find_entry(slot, key);
    if (found == nullptr) {
        return add_claim(slot, key, fingerprint);
    }
    claim_decision decision = decide(*found, fingerprint);
    if (decision.action == claim_action::join) {
        if (!found->joiners) {
            found->joiners = std::make_unique<std::vector<joiner_id>>();
        }
        found->joiners->push_back(joiner);
    }
    return decision;
}

claim_decision claim_ledger::find(const slot_id& slot, std::string_view key,
                                  std::uint64_t fingerprint) const {
    const std::lock_guard lock(mutex_);
    const entry* found = find_entry(slot, key);
    return found == nullptr ? make_refusal(error_kind::none) : decide(*found, fingerprint);
}

claim_decision claim_ledger::decide(const entry& claim, std::uint64_t fingerprint) {
    if (claim.fingerprint != fingerprint) {
        return make_refusal(error_kind::key_conflict);
    }
    switch (claim.state) {
        case phase::running:
            return {.action = claim_action::join, .token = claim.token};
        case phase::finished:
            return {.action = claim_action::replay, .answer = claim.answer};
        case phase::unknown:
            break;
    }
    return make_refusal(error_kind::key_in_doubt);
}

claim_decision claim_ledger::add_claim(const slot_id& slot, std::string_view key, std::uint64_t fingerprint) {
    std::unique_ptr<slot_claims>& claims = slots_[slot];
    if (!claims) {
        claims = std::make_unique<slot_claims>();
    }
    remove_expired(*claims, clock_.now());
    if (is_full(1, claim_bytes(key))) {
        return make_refusal(error_kind::overloaded);
    }
    const claim_token token = ++last_token_;
    claims->entries.try_emplace(std::string(key), entry{.fingerprint = fingerprint, .token = token});
    ++claims->running;
    ++counts_.running;
    counts_.bytes += claim_bytes(key);
    return {.action = claim_action::run, .token = token};
}

claim_completion claim_ledger::finish(const slot_id& slot, std::string_view key, claim_token token,
                                      stored_answer answer) {
    const std::size_t bytes = estimate_answer_bytes(answer);
    std::shared_ptr<const stored_answer> stored;
    if (answer.body.size() <= options_.max_answer_bytes) {
        stored = std::make_shared<const stored_answer>(std::move(answer));
    }
    const std::lock_guard lock(mutex_);
    claim_completion result = finish_claim(slot, key, token, execution_state::run, stored);
    if (result.matched && stored) {
        store_answer(*find_entry(slot, key), stored, bytes);
    }
    return result;
}

claim_completion claim_ledger::finish_without_answer(const slot_id& slot, std::string_view key,
                                                     claim_token token) {
    const std::lock_guard lock(mutex_);
    return finish_claim(slot, key, token, execution_state::run, nullptr);
}

claim_completion claim_ledger::finish_unknown(const slot_id& slot, std::string_view key, claim_token token) {
    const std::lock_guard lock(mutex_);
    return finish_claim(slot, key, token, execution_state::unknown, nullptr);
}

claim_completion claim_ledger::finish_not_run(const slot_id& slot, std::string_view key, claim_token token) {
    const std::lock_guard lock(mutex_);
    return finish_claim(slot, key, token, execution_state::not_run, nullptr);
}

claim_completion claim_ledger::finish_claim(const slot_id& slot, std::string_view key, claim_token token,
                                            execution_state execution,
                                            std::shared_ptr<const stored_answer> answer) {
    const auto claims = slots_.find(slot);
    if (claims == slots_.end()) {
        return {};
    }
    const auto position = claims->second->entries.find(key);
    if (position == claims->second->entries.end() || position->second.token != token ||
        position->second.state != phase::running) {
        return {};
    }
    claim_completion result{.matched = true, .execution = execution, .answer = std::move(answer)};
    entry& claim = position->second;
    if (claim.joiners) {
        result.joiners = std::move(*claim.joiners);
        claim.joiners.reset();
    }
    if (execution == execution_state::not_run) {
        remove_claim(*claims->second, position);
        return result;
    }
    mark_ended(*claims->second, position,
               execution == execution_state::run ? phase::finished : phase::unknown);
    return result;
}

void claim_ledger::mark_ended(slot_claims& claims, entry_map::iterator position, phase state) {
    --claims.running;
    --count_in_phase(position->second.state);
    position->second.state = state;
    ++count_in_phase(state);
    claims.expirations.push_back({clock_.now() + options_.retention, &position->first});
}

void claim_ledger::store_answer(entry& claim, std::shared_ptr<const stored_answer> answer,
                                std::size_t bytes) {
    const double limit = options_.max_answer_fraction * static_cast<double>(options_.max_total_bytes);
    if (static_cast<double>(counts_.answer_bytes + bytes) > limit) {
        return;  // Joiners still receive the answer; later re-sends get only the fact that it has run.
    }
    counts_.answer_bytes += bytes;
    counts_.bytes += bytes;
    claim.answer = std::move(answer);
}

void claim_ledger::remove_joiner(const slot_id& slot, std::string_view key, joiner_id joiner) {
    const std::lock_guard lock(mutex_);
    entry* claim = find_entry(slot, key);
    if (claim != nullptr && claim->joiners) {
        std::erase(*claim->joiners, joiner);
    }
}

void claim_ledger::on_tick() {
    const std::lock_guard lock(mutex_);
    const steady_time now = clock_.now();
    for (auto& [slot, claims] : slots_) {
        remove_expired(*claims, now);
    }
}

void claim_ledger::remove_expired(slot_claims& claims, steady_time now) {
    while (!claims.expirations.empty() && claims.expirations.front().expires_at <= now) {
        const auto position = claims.entries.find(*claims.expirations.front().key);
        claims.expirations.pop_front();
        remove_claim(claims, position);
    }
}

void claim_ledger::remove_claim(slot_claims& claims, entry_map::iterator position) {
    const entry& claim = position->second;
    if (claim.state == phase::running) {
        --claims.running;
    }
    --count_in_phase(claim.state);
    counts_.bytes -= claim_bytes(position->first);
    if (claim.answer) {
        const std::size_t bytes = estimate_answer_bytes(*claim.answer);
        counts_.answer_bytes -= bytes;
        counts_.bytes -= bytes;
    }
    claims.entries.erase(position);
}

wire::SlotClaims claim_ledger::export_slot(const slot_id& slot) const {
    wire::SlotClaims message;
    message.set_service(slot.service);
    message.set_slot(slot.slot);
    const std::lock_guard lock(mutex_);
    const auto claims = slots_.find(slot);
    if (claims == slots_.end()) {
        return message;
    }
    for (const auto& [key, claim] : claims->second->entries) {
        wire::Claim& out = *message.add_claims();
        out.set_key(key);
        out.set_fingerprint(claim.fingerprint);
        out.set_state(claim.state == phase::finished ? wire::Claim::FINISHED : wire::Claim::UNKNOWN);
        if (claim.answer) {
            *out.mutable_answer() = to_wire(*claim.answer);
        }
    }
    return message;
}

absl::Status claim_ledger::import_slot(const wire::SlotClaims& message) {
    const std::lock_guard lock(mutex_);
    std::size_t bytes = 0;
    for (const wire::Claim& claim : message.claims()) {
        bytes += claim_bytes(claim.key());
    }
    if (is_full(static_cast<std::size_t>(message.claims_size()), bytes)) {
        return absl::ResourceExhaustedError("The claim ledger has no room for the claims of slot " +
                                            std::to_string(message.slot()) + " of " + message.service() +
                                            ".");
    }
    std::unique_ptr<slot_claims>& claims = slots_[{message.service(), message.slot()}];
    if (!claims) {
        claims = std::make_unique<slot_claims>();
    }
    if (claims->running > 0) {
        return absl::FailedPreconditionError("Requests of the slot still run on this node.");
    }
    for (const wire::Claim& claim : message.claims()) {
        import_claim(*claims, claim);
    }
    return absl::OkStatus();
}

void claim_ledger::import_claim(slot_claims& claims, const wire::Claim& message) {
    if (const auto existing = claims.entries.find(message.key()); existing != claims.entries.end()) {
        // The claim of the former holder is newer. The expiration entry is identified by the address of the
        // key.
        std::erase_if(claims.expirations,
                      [&](const expiration& record) { return record.key == &existing->first; });
        remove_claim(claims, existing);
    }
    const auto position =
        claims.entries
            .try_emplace(message.key(), entry{.fingerprint = message.fingerprint(), .token = ++last_token_})
            .first;
    ++claims.running;
    ++counts_.running;
    counts_.bytes += claim_bytes(position->first);
    mark_ended(claims, position, message.state() == wire::Claim::FINISHED ? phase::finished : phase::unknown);
    if (message.has_answer()) {
        auto answer = std::make_shared<const stored_answer>(from_wire(message.answer()));
        const std::size_t answer_size = estimate_answer_bytes(*answer);
        store_answer(position->second, std::move(answer), answer_size);
    }
}

void claim_ledger::remove_slot(const slot_id& slot) {
    const std::lock_guard lock(mutex_);
    const auto claims = slots_.find(slot);
    if (claims == slots_.end()) {
        return;
    }
    entry_map& entries = claims->second->entries;
    while (!entries.empty()) {
        remove_claim(*claims->second, entries.begin());
    }
    slots_.erase(claims);
}

claim_counts claim_ledger::counts() const {
    const std::lock_guard lock(mutex_);
    return counts_;
}

std::size_t claim_ledger::running_count(const slot_id& slot) const {
    const std::lock_guard lock(mutex_);
    const auto claims = slots_.find(slot);
    return claims == slots_.end() ? 0 : claims->second->running;
}

claim_ledger::entry* claim_ledger::find_entry(const slot_id& slot, std::string_view key) const {
    const auto claims = slots_.find(slot);
    if (claims == slots_.end()) {
        return nullptr;
    }
    const auto position = claims->second->entries.find(key);
    return position == claims->second->entries.end() ? nullptr : &position->second;
}

bool claim_ledger::is_full(std::size_t added_claims, std::size_t added_bytes) const {
    const std::size_t live_claims = counts_.running + counts_.finished + counts_.unknown;
    return live_claims + added_claims > options_.max_claims ||
           counts_.bytes + added_bytes > options_.max_total_bytes;
}

std::size_t& claim_ledger::count_in_phase(phase state) {
    switch (state) {
        case phase::running:
            return counts_.running;
        case phase::finished:
            return counts_.finished;
        case phase::unknown:
            break;
    }
    return counts_.unknown;
}

}  // namespace teaselpitch
