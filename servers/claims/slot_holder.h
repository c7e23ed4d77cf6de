#pragma once

#include <cstdint>
#include <mutex>
#include <optional>
#include <string_view>

#include "core/clock.h"
#include "core/identity.h"
#include "core/wire/claims.pb.h"
#include "servers/claims/claim_ledger.h"
#include "servers/claims/slot_id.h"
#include "servers/claims/slot_map.h"
#include "servers/claims/slot_options.h"

namespace teaselpitch {

/// State of one slot on one node.
enum class slot_state : std::uint8_t {
    not_holder,
    waiting,           ///< Has taken the slot over; the former holder may still be running requests.
    first_sends_only,  ///< Does not have all keys of the former holder.
    serving,
    handing_over,  ///< Accepts no new keys; a successor receives the claims.
    stale,         ///< Holder by the last assignment read, without a recent proof of it.
};

/// What a caller states about one send of a key.
struct send_mark {
    /// The caller has proof that no earlier send of the key has run or will run.
    bool first_send = false;
    /// The slot epoch that the caller received in an answer before it made this send; 0 for none.
    std::uint64_t slot_epoch = 0;
};

/// Proof that the holder was fresh at one point in time, required to write the first byte to the target.
struct write_permit {
    std::uint64_t term = 0;  ///< Changes whenever the node stops being the holder.
    steady_time checked_at{};
};

struct slot_decision {
    claim_decision claim{};
    write_permit permit{};  ///< Set for run.
    /// Set when a first send was refused because it did not carry this epoch. The caller may send it again
    /// with this epoch.
    std::uint64_t slot_epoch = 0;
};

/// Decides whether requests with the keys of one slot may run on this node.
///
/// Order of calls for a request that runs: decide(), any waits, refresh_permit(), may_write_now() and the
/// first byte without another wait in between, then one of the finish functions of claim_ledger. When a
/// permit is refused, nothing has been written and the request ends with finish_not_run(). Thread-safe; each
/// call holds one lock briefly, and the lock of the ledger inside it.
class slot_holder {
public:
    slot_holder(const time_source& clock, const slot_options& options, node_identity self, slot_id slot,
                claim_ledger& ledger);

    /// Decides how to handle one send of a key. The stored answer of a finished key is replayed in every
    /// state, because it remains valid; anything else is refused unless the node may serve. Errors:
    /// slot_moving, key_in_doubt, and those of the ledger.
    ///
    /// While the node does not have all keys of the former holder, it runs only first sends that were made
    /// after its takeover. An earlier first send may have been delayed in transit and overtaken by a re-send
    /// that the former holder ran.
    slot_decision decide(std::string_view key, const send_mark& mark, std::uint64_t fingerprint,
                         joiner_id joiner);

    /// Checks freshness again after a wait and returns a new permit; empty when the request must not be
    /// written.
    [[nodiscard]] std::optional<write_permit> refresh_permit(const write_permit& earlier) const;

    /// Final check, immediately before the first byte. Only a pause of the process can delay the write after
    /// it, and the margin covers that.
    [[nodiscard]] bool may_write_now(const write_permit& permit) const;

    /// Applies an assignment that was read from the log, from a snapshot or from a peer; older ones are
    /// ignored.
    void on_assignment(const slot_assignment& assignment);

    /// Reports a read up to the end of the log, after all its records were passed to on_assignment().
    /// issued_at is the time on this node's clock at which the read was sent. A read through a peer counts
    /// only when the peer read the log after it received the request of this node.
    void on_fresh_log_read(steady_time issued_at);

    /// Reports that every candidate of this epoch has promised; requested_at is the oldest request time of
    /// these promises. Ignored while an own append is unresolved, because a different list of candidates may
    /// then be in force.
    void on_candidates_promised(std::uint64_t epoch, steady_time requested_at);

    /// Must be called before an append that renews the assignment of this slot is sent. The append is
    /// resolved by the next newer assignment.
    void begin_own_append();

    /// Reports that an append after begin_own_append() at this epoch was provably not sent.
    void on_own_append_not_sent(std::uint64_t epoch);

    /// Stops accepting new keys for a planned change. Returns false when the node is not serving.
    bool begin_hand_over();

    /// Revokes all permits and returns the claims for the successor; empty unless handing over. The node
    /// serves again only after it has read a renewed assignment to itself.
    std::optional<wire::SlotClaims> export_claims();

    /// Imports the claims of the current holder; must precede the append of the own planned assignment. Fails
    /// with InvalidArgument for another slot and FailedPrecondition for an older epoch or on the holder
    /// itself; errors of claim_ledger::import_slot() are passed on.
    absl::Status import_claims(const wire::SlotClaims& claims);

    [[nodiscard]] slot_state state() const;
    [[nodiscard]] std::uint64_t epoch() const;

private:
    struct imported_claims {
        std::uint64_t epoch = 0;
        steady_time all_keys_known_from{};
    };

    [[nodiscard]] slot_state state_at(steady_time now) const;
    [[nodiscard]] bool can_write(std::uint64_t term, steady_time now) const;
    [[nodiscard]] slot_decision replay_or_refuse(std::string_view key, std::uint64_t fingerprint,
                                                 error_kind kind) const;
    [[nodiscard]] slot_decision refuse_unknown_key(const send_mark& mark) const;
    void begin_term(const slot_assignment& assignment, steady_time now);

    const time_source& clock_;
    const slot_options options_;
    const node_identity self_;
    const slot_id slot_;
    claim_ledger& ledger_;

    mutable std::mutex mutex_;
    std::uint64_t epoch_ = 0;
    std::uint64_t term_ = 0;
    bool is_holder_ = false;
    bool handing_over_ = false;
    bool exported_ = false;
    std::uint32_t unresolved_appends_ = 0;
    std::uint64_t term_first_epoch_ = 0;  ///< Epoch at which the current uninterrupted term as holder began.
    steady_time serve_from_{};
    steady_time all_keys_known_from_{};  ///< From this time on, all keys still within retention are known.
    steady_time fresh_until_{};
    std::optional<imported_claims> imported_;
};

}  // namespace teaselpitch
