#pragma once

#include <absl/container/flat_hash_map.h>
#include <absl/container/node_hash_map.h>
#include <absl/status/status.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <vector>

#include "core/clock.h"
#include "core/error_kind.h"
#include "core/identity.h"
#include "core/wire/claims.pb.h"
#include "servers/claims/slot_id.h"
#include "servers/claims/stored_answer.h"

namespace teaselpitch {

struct claim_options {
    std::chrono::nanoseconds retention =
        std::chrono::minutes{10};              ///< W: time from the end of a run until its key is removed.
    std::size_t max_answer_bytes = 16 * 1024;  ///< Answers with a larger body are not stored.
    std::size_t max_claims = 200'000;          ///< New keys are refused above this number of live claims.
    std::size_t max_total_bytes =
        48 * 1024 * 1024;  ///< New keys are refused above this size of keys and answers.
    /// Fraction of max_total_bytes that answers may occupy, so that room for new keys remains.
    double max_answer_fraction = 0.75;
};

/// How the holder of a slot handles a request with an idempotency key.
enum class claim_action : std::uint8_t {
    run,     ///< This request has claimed the key. It runs now, and its end must be reported.
    join,    ///< The same request is already running; the joiner is notified when it ends.
    replay,  ///< The request has run; its stored answer is returned again.
    refuse,  ///< The request is refused with claim_decision::error.
};

/// Identifies one claim of a key. Reports with the token of an older claim have no effect.
using claim_token = std::uint64_t;

/// Identifies a request that waits for the end of a running one. Chosen by the caller of the ledger.
using joiner_id = std::uint64_t;

struct claim_decision {
    claim_action action = claim_action::refuse;
    error_kind error = error_kind::none;  ///< Set when refused.
    claim_token token = 0;                ///< Set for run and join.
    /// Set for replay; empty when the request has run and its answer was not stored.
    std::shared_ptr<const stored_answer> answer{};
};

/// Result of reporting the end of a run, to be passed on to its joiners.
struct claim_completion {
    bool matched = false;              ///< False when the token did not belong to a running claim.
    std::vector<joiner_id> joiners{};  ///< Requests that joined this run, in order of arrival.
    execution_state execution = execution_state::unknown;
    std::shared_ptr<const stored_answer> answer{};  ///< Empty when not run, unknown or not stored.
};

struct claim_counts {
    std::size_t running = 0;
    std::size_t finished = 0;
    std::size_t unknown = 0;
    std::size_t bytes = 0;  ///< Estimated memory of all claims, including answers.
    std::size_t answer_bytes = 0;
};

/// Stores the claims of the idempotency keys in the slots that this node holds.
///
/// A claim is live while its request runs and for the retention time after the end of the run. Live claims
/// are never evicted: when the ledger is full, new keys are refused as overloaded. Thread-safe; each call
/// holds one lock briefly.
class claim_ledger {
public:
    claim_ledger(const time_source& clock, const claim_options& options);

    /// Claims the key for a request, or returns the state of its existing claim. Two requests with the same
    /// key are considered equal when their fingerprints match.
    claim_decision claim(const slot_id& slot, std::string_view key, std::uint64_t fingerprint,
                         joiner_id joiner);

    /// Returns what claim() would return for a live key, without a side effect. A key without a claim yields
    /// refuse with error_kind::none.
    [[nodiscard]] claim_decision find(const slot_id& slot, std::string_view key,
                                      std::uint64_t fingerprint) const;

    /// Reports that the target returned a complete answer. If its body is too large, the claim is recorded as
    /// run and the answer is not stored.
    claim_completion finish(const slot_id& slot, std::string_view key, claim_token token,
                            stored_answer answer);

    /// Reports that the target returned a complete answer that is not to be stored.
    claim_completion finish_without_answer(const slot_id& slot, std::string_view key, claim_token token);

    /// Reports that some bytes may have reached the target and that no complete answer was received.
    claim_completion finish_unknown(const slot_id& slot, std::string_view key, claim_token token);

    /// Reports that no byte reached the target; the key can be claimed again.
    claim_completion finish_not_run(const slot_id& slot, std::string_view key, claim_token token);

    /// Removes a joiner that no longer waits.
    void remove_joiner(const slot_id& slot, std::string_view key, joiner_id joiner);

    /// Removes the claims whose retention has passed. Must be called about once a second.
    void on_tick();

    /// Returns all claims of a slot; running ones are exported as unknown.
    [[nodiscard]] wire::SlotClaims export_slot(const slot_id& slot) const;

    /// Adds the claims that the former holder of a slot exported; they replace ended claims of the same keys.
    /// Their retention restarts, because times of another node's clock are not comparable. Fails without any
    /// change with ResourceExhausted when the claims do not fit, and with FailedPrecondition while a claim of
    /// the slot is still running here.
    absl::Status import_slot(const wire::SlotClaims& claims);

    /// Removes all claims of a slot that this node no longer holds. Joiners of running claims are not
    /// notified, and later reports of these runs have no effect.
    void remove_slot(const slot_id& slot);

    [[nodiscard]] claim_counts counts() const;

    /// Returns the number of running claims of a slot; a planned change waits until it is zero.
    [[nodiscard]] std::size_t running_count(const slot_id& slot) const;

private:
    enum class phase : std::uint8_t { running, finished, unknown };

    struct entry {
        phase state = phase::running;
        std::uint64_t fingerprint = 0;
        claim_token token = 0;
        std::shared_ptr<const stored_answer> answer{};
        std::unique_ptr<std::vector<joiner_id>> joiners{};
    };

    struct key_hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view key) const { return stable_hash(key); }
    };

    using entry_map = absl::node_hash_map<std::string, entry, key_hash, std::equal_to<>>;

    struct expiration {
        steady_time expires_at;
        const std::string* key = nullptr;  ///< Points into the node_hash_map, which keeps addresses stable.
    };

    struct slot_claims {
        entry_map entries;
        std::deque<expiration>
            expirations;  ///< In order of expiry, because all claims have the same retention.
        std::size_t running = 0;
    };

    [[nodiscard]] static claim_decision decide(const entry& claim, std::uint64_t fingerprint);
    [[nodiscard]] entry* find_entry(const slot_id& slot, std::string_view key) const;
    [[nodiscard]] bool is_full(std::size_t added_claims, std::size_t added_bytes) const;

    std::size_t& count_in_phase(phase state);
    claim_decision add_claim(const slot_id& slot, std::string_view key, std::uint64_t fingerprint);
    claim_completion finish_claim(const slot_id& slot, std::string_view key, claim_token token,
                                  execution_state execution, std::shared_ptr<const stored_answer> answer);
    void mark_ended(slot_claims& claims, entry_map::iterator position, phase state);
    void store_answer(entry& claim, std::shared_ptr<const stored_answer> answer, std::size_t bytes);
    void import_claim(slot_claims& claims, const wire::Claim& message);
    void remove_expired(slot_claims& claims, steady_time now);
    void remove_claim(slot_claims& claims, entry_map::iterator position);

    const time_source& clock_;
    const claim_options options_;
    mutable std::mutex mutex_;
    claim_token last_token_ = 0;
    absl::flat_hash_map<slot_id, std::unique_ptr<slot_claims>> slots_;
    claim_counts counts_;
};

}  // namespace teaselpitch
