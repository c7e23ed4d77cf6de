#pragma once

#include <absl/container/flat_hash_map.h>

#include <cstdint>
#include <mutex>
#include <optional>
#include <vector>

#include "core/clock.h"
#include "core/identity.h"
#include "core/wire/claims.pb.h"
#include "servers/claims/slot_id.h"
#include "servers/claims/slot_map.h"
#include "servers/claims/slot_options.h"

namespace teaselpitch {

/// The candidate's side of the promises: for the length of a lease it does not take a slot over.
///
/// Thread-safe, because peers ask on their own shard; each call holds one lock briefly.
class lease_promises {
public:
    lease_promises(const time_source& clock, const slot_options& options, node_identity self);

    /// Promises from now on, or refuses: when another incarnation is asked, when a newer assignment is
    /// known, or while an own append is unresolved, because it may have taken effect already.
    wire::PromiseReply on_request(const wire::PromiseRequest& request);

    /// Must precede every append of a takeover that replaces this epoch; false while a promise runs or when
    /// a newer assignment is known. From then on the append is unresolved until on_assignment() shows
    /// an assignment newer than the epoch.
    bool begin_append(const slot_id& slot, std::uint64_t epoch);

    /// An append after begin_append() with this epoch was provably not sent, for instance because no
    /// connection was opened.
    void on_append_not_sent(const slot_id& slot, std::uint64_t epoch);

    /// The node is about to stop: it appends no takeover any more, and its promises last for ever. So a
    /// planned restart of a candidate during an outage of the log does not end the freshness of its holders.
    void renounce();

    /// A newer assignment was read.
    void on_assignment(const slot_assignment& assignment);

    [[nodiscard]] bool has_unresolved_append(const slot_id& slot) const;

private:
    struct slot_record {
        std::uint64_t known_epoch = 0;
        node_identity holder;
        steady_time promised_until{};
        std::uint64_t appended_over = 0;  ///< Newest epoch that an unresolved append replaces.
        std::uint32_t unresolved_appends = 0;
    };

    const time_source& clock_;
    const slot_options options_;
    const node_identity self_;
    mutable std::mutex mutex_;
    bool renounced_ = false;
    /// Slots in which this node was named, asked or appending; others need no memory.
    absl::flat_hash_map<slot_id, slot_record> slots_;
};

/// The holder's side for one slot: which candidates have promised, counted from the time of the request.
class promise_requests {
public:
    promise_requests(const time_source& clock, const slot_options& options, node_identity self);

    /// A newer assignment of the slot was read; promises of an older one are dropped.
    void on_assignment(const slot_assignment& assignment);

    /// The requests to send now, one to each candidate; empty when this node is not the holder.
    std::vector<wire::PromiseRequest> make_requests();

    void on_reply(const wire::PromiseReply& reply);

    /// The oldest request time among the newest promises of all candidates; empty when one of them has not
    /// promised. Without candidates it is now, because nobody can take the slot over.
    [[nodiscard]] std::optional<steady_time> promised_since() const;

    [[nodiscard]] std::uint64_t epoch() const { return assignment_.epoch; }

private:
    struct candidate_record {
        node_identity node;
        std::optional<steady_time> promised_at{};  ///< When the newest granted request was sent.
        bool renounced = false;
    };

    struct sent_request {
        std::size_t candidate = 0;
        steady_time sent_at{};
    };

    const time_source& clock_;
    const slot_options options_;
    const node_identity self_;
    slot_assignment assignment_;
    std::vector<candidate_record> candidates_;
    std::uint64_t last_request_ = 0;
    absl::flat_hash_map<std::uint64_t, sent_request> sent_;
};

}  // namespace teaselpitch
