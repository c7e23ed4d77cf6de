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

/// What one node may do for one slot.
enum class slot_state : std::uint8_t {
    not_holder,
    waiting,           ///< Took the slot over; the former holder may still run keys.
    first_sends_only,  ///< Does not know all keys of the former holder.
    serving,
    handing_over,  ///< Takes no new keys; a successor gets the claims.
    stale,         ///< Holder by its own view, without a recent proof of it.
};

/// What a caller says about one send of a key.
struct send_mark {
    /// The caller knows that no earlier send of the key was or will be run.
    bool first = false;
    /// The epoch that an answer of the fleet gave to the caller before it made this send; 0 for none.
    std::uint64_t slot_epoch = 0;
};

/// Proof that the holder was fresh at one time, needed for the first byte to the target.
struct write_permit {
    std::uint64_t term = 0;  ///< Changes whenever the node stops being the holder.
    steady_time checked_at{};
};

struct slot_decision {
    claim_decision claim{};
    write_permit permit{};  ///< Set for run.
    /// Set when a first send was refused for want of this epoch: the caller may mark a new send with it.
    std::uint64_t slot_epoch = 0;
};

/// The part of one node in one slot: decides whether a keyed request may run here.
///
/// Order of calls for a request that runs: decide(), any waits, check_write(), may_write_now() and the first
/// byte without another wait in between, then one of the reports of claim_ledger. When a permit is refused,
/// nothing was written and the report is end_not_run().
/// Thread-safe; each call holds one lock briefly, and the lock of the ledger inside it.
class slot_holder {
public:
    slot_holder(const time_source& clock, const slot_options& options, node_identity self, slot_id slot,
                claim_ledger& ledger);

    /// Decides one send of a key. A finished key is answered again in every state, because that answer
    /// stays true; all else is refused unless the node may serve. Kinds of refusal: slot_moving,
    /// key_in_doubt, and those of the ledger.
    ///
    /// While the node does not know all keys of the former holder, it runs first sends only, and only when
    /// they were made after its takeover: a first send that was delayed on its way may have been overtaken
    /// by a re-send that the former holder ran.
    slot_decision decide(std::string_view key, const send_mark& mark, std::uint64_t fingerprint,
                         joiner_id joiner);

    /// Checks freshness again after a wait; empty when the request must not be written.
    [[nodiscard]] std::optional<write_permit> check_write(const write_permit& earlier) const;

    /// The last look before the first byte. It leaves only a pause between it and the write, which
    /// the margin covers.
    [[nodiscard]] bool may_write_now(const write_permit& permit) const;

    /// A newer assignment was read from the log, from a snapshot or from a peer.
    void on_assignment(const slot_assignment& assignment);

    /// A read of the log returned its end, and on_assignment() got all its records. issued_at is the time
    /// on this node's clock at which the read was sent; a read through a peer counts only when
    /// the peer read the log after this node asked.
    void on_fresh_log_read(steady_time issued_at);

    /// Every candidate of this epoch has promised; requested_at is the oldest time at which one of these
    /// promises was requested. Ignored while an own append is unresolved, because then another list
    /// of candidates may be in force.
    void on_promised(std::uint64_t epoch, steady_time requested_at);

    /// The node is about to append a renewed assignment of its own slot; call it before the append is sent.
    /// Resolved by the next newer assignment.
    void on_own_append();

    /// An append after on_own_append() at this epoch was provably not sent.
    void on_own_append_not_sent(std::uint64_t epoch);

    /// Stops taking new keys for a planned change. False when the node is not serving.
    bool begin_hand_over();

    /// Ends all writes and gives the claims for the successor; empty unless handing over. The node serves
    /// again only after it has read back a renewed assignment of its own.
    std::optional<wire::SlotClaims> export_claims();

    /// Takes the claims of the current holder, before appending the own planned assignment.
    absl::Status import_claims(const wire::SlotClaims& claims);

    [[nodiscard]] slot_state state() const;
    [[nodiscard]] std::uint64_t epoch() const;

private:
    struct imported_claims {
        std::uint64_t epoch = 0;
        steady_time full_from{};
    };

    [[nodiscard]] slot_state state_at(steady_time now) const;
    [[nodiscard]] bool is_writable(std::uint64_t term, steady_time now) const;
    [[nodiscard]] slot_decision refuse(std::string_view key, std::uint64_t fingerprint,
                                       error_kind kind) const;
    [[nodiscard]] slot_decision refuse_doubtful(const send_mark& mark) const;
    void begin_term(const slot_assignment& assignment, steady_time now);

    const time_source& clock_;
    const slot_options options_;
    const node_identity self_;
    const slot_id slot_;
    claim_ledger& ledger_;

    mutable std::mutex mutex_;
    std::uint64_t epoch_ = 0;
    std::uint64_t term_ = 0;
    bool holding_ = false;
    bool handing_over_ = false;
    bool exported_ = false;
    std::uint32_t unresolved_appends_ = 0;
    std::uint64_t first_epoch_ = 0;  ///< Epoch with which the unbroken time as holder began.
    steady_time serve_from_{};
    steady_time full_from_{};  ///< From here on all keys that are still protected are known.
    steady_time fresh_until_{};
    std::optional<imported_claims> imported_;
};

}  // namespace teaselpitch
