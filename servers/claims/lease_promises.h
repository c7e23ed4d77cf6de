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

/// Runs on the candidates of a slot and grants lease promises: a candidate that has promised does not take
/// the slot over for the duration of one lease.
///
/// Thread-safe, because each shard handles the requests of its own peers; each call holds one lock briefly.
class lease_promises {
public:
    lease_promises(const time_source& clock, const slot_options& options, node_identity self);

    /// Grants a promise for one lease from now. Refuses when the request is addressed to another incarnation,
    /// when a newer assignment has been read, or while an own append is unresolved, because that append may
    /// already have taken effect.
    wire::PromiseReply on_request(const wire::PromiseRequest& request);

    /// Must be called before every append of a takeover that replaces this epoch. Returns false while a
    /// promise is valid or when a newer assignment has been read. After success the append is unresolved
    /// until on_assignment() receives an assignment that is newer than the epoch.
    bool begin_append(const slot_id& slot, std::uint64_t epoch);

    /// Reports that an append after begin_append() with this epoch was provably not sent, for example because
    /// no connection was opened.
    void on_append_not_sent(const slot_id& slot, std::uint64_t epoch);

    /// Gives up all takeovers before the node stops, so that its promises never expire. A planned restart of
    /// a candidate during an outage of the log therefore does not make the holders of its slots stale.
    void renounce();

    /// Must be called for every assignment that is read; older ones are ignored.
    void on_assignment(const slot_assignment& assignment);

    [[nodiscard]] bool has_unresolved_append(const slot_id& slot) const;

private:
    struct slot_record {
        std::uint64_t latest_epoch = 0;
        node_identity holder;
        steady_time promised_until{};
        std::uint64_t replaced_epoch = 0;  ///< Latest epoch that an unresolved append replaces.
        std::uint32_t unresolved_appends = 0;
    };

    const time_source& clock_;
    const slot_options options_;
    const node_identity self_;
    mutable std::mutex mutex_;
    bool renounced_ = false;
    /// Only slots whose assignment includes this node, or for which it got a request or started an append.
    absl::flat_hash_map<slot_id, slot_record> slots_;
};

/// Runs on the holder of one slot and collects the promises of its candidates. A promise counts from the time
/// at which it was requested.
class promise_collector {
public:
    promise_collector(const time_source& clock, const slot_options& options, node_identity self);

    /// Must be called for every assignment of the slot that is read. Promises for an older one are discarded.
    void on_assignment(const slot_assignment& assignment);

    /// Returns the requests to send now, one for each candidate; empty when this node is not the holder.
    std::vector<wire::PromiseRequest> make_requests();

    void on_reply(const wire::PromiseReply& reply);

    /// Returns the oldest request time among the newest promises of all candidates; empty when a candidate
    /// has not promised. Without candidates it is the current time, because no node can take the slot over.
    [[nodiscard]] std::optional<steady_time> oldest_promise_time() const;

    [[nodiscard]] std::uint64_t epoch() const { return assignment_.epoch; }

private:
    struct candidate_record {
        node_identity node;
        std::optional<steady_time> promised_at{};  ///< Time at which the newest granted request was sent.
        bool renounced = false;
    };

    struct pending_request {
        std::size_t candidate = 0;
        steady_time sent_at{};
    };

    const time_source& clock_;
    const slot_options options_;
    const node_identity self_;
    slot_assignment assignment_;
    std::vector<candidate_record> candidates_;
    std::uint64_t last_request_id_ = 0;
    absl::flat_hash_map<std::uint64_t, pending_request> pending_requests_;
};

}  // namespace teaselpitch
