#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "core/clock.h"
#include "core/rcu_cell.h"
#include "core/wire/claims.pb.h"
#include "core/wire/control.pb.h"
#include "modules/proxy/gate.h"
#include "modules/proxy/ingress.h"
#include "modules/proxy/waiter_table.h"
#include "servers/claims/claim_ledger.h"
#include "servers/claims/lease_promises.h"
#include "servers/claims/slot_holder.h"
#include "servers/claims/slot_map.h"
#include "servers/claims/takeover_policy.h"

namespace teaselpitch {

struct claim_keeper_hooks {
    /// The target of the service that runs a keyed request; empty when there is none.
    std::function<std::optional<target_identity>(std::string_view service)> choose_target;
    /// Appends a record to the log; the record is read back like any other.
    std::function<void(wire::SlotChange)> append;
    /// Sends a promise request to a candidate; the reply comes back through on_promise_reply().
    std::function<void(wire::PromiseRequest)> request_promise;
    /// Sends the claims of a slot to its successor.
    std::function<void(const node_identity& successor, wire::HandOver)> hand_over;
};

/// At-most-once execution of keyed requests on one node: the slots that it holds, the promises that it gave,
/// and the runs at its own targets.
class claim_keeper {
public:
    claim_keeper(const time_source& clock, const slot_settings& settings, const claim_options& claims,
                 node_identity self, claim_keeper_hooks hooks);

    // Commands for the control thread.
    void on_assignments(const slot_map& slots, std::span<const slot_assignment> changed);
    void on_fresh_log_read(steady_time issued_at);
    void on_places(const std::string& service, std::vector<eligible_node> places);
    void on_alive_nodes(const std::vector<node_identity>& alive);
    void on_promise_reply(const wire::PromiseReply& reply);
    wire::PromiseReply on_promise_request(const wire::PromiseRequest& request);
    /// Takes the claims of a slot and appends the assignment that makes this node its holder.
    absl::Status on_hand_over(const wire::HandOver& message);
    void set_draining();
    /// Proposes changes of slots and renews promises; call it once a second.
    void on_tick(const slot_map& slots, bool log_is_fresh);

    // Commands for any shard.
    awaitable<exchange_result> run(gate& entry, const request_head& head, body_reader& body,
                                   response_writer& writer);

    // Queries.
    /// The node that holds the slot of a keyed request; empty before the first assignment.
    [[nodiscard]] std::optional<node_identity> holder_of(const request_head& head) const;
    /// Slots that this node holds by its own view.
    [[nodiscard]] std::size_t held_slots() const;
    [[nodiscard]] claim_counts counts() const { return ledger_.counts(); }

private:
    struct keyed_request {
        slot_id slot;
        std::string key;
        std::shared_ptr<slot_holder> holder;
        slot_decision decision;
    };
    struct held_slot {
        std::shared_ptr<slot_holder> holder;
        std::unique_ptr<promise_collector> promises;
    };
    using holder_map = std::map<slot_id, node_identity>;

    held_slot& slot_entry(const slot_id& slot);
    [[nodiscard]] std::shared_ptr<slot_holder> find_holder(const slot_id& slot) const;
    void start_change(const slot_change& change, wire::SlotChange& batch);
    void start_hand_over(const slot_change& change);
    void finish_hand_overs();

    awaitable<exchange_result> run_claimed(gate& entry, const keyed_request& request,
                                           const request_head& head, body_reader& body,
                                           response_writer& writer);
    static awaitable<exchange_result> replay(std::shared_ptr<const stored_answer> answer,
                                             response_writer& writer);
    static awaitable<exchange_result> answer_joiner(claim_completion end, response_writer& writer);
    void tell_joiners(const claim_completion& end);

    const time_source& clock_;
    const slot_options options_;
    const node_identity self_;
    const claim_keeper_hooks hooks_;
    claim_ledger ledger_;
    lease_promises promises_;
    takeover_policy policy_;
    waiter_table<claim_completion> joiners_;
    std::atomic<joiner_id> next_joiner_{1};
    rcu_cell<holder_map> holders_;
    mutable std::mutex mutex_;  ///< Guards the map only; its holders lock for themselves.
    std::map<slot_id, held_slot> slots_;
    std::vector<slot_change> handing_over_;  ///< Control thread only.
};

}  // namespace teaselpitch
