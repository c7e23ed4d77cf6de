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

struct claim_manager_hooks {
    /// Chooses the local target of the service that runs a keyed request; empty when there is none.
    std::function<std::optional<target_identity>(std::string_view service)> choose_target;
    /// Appends a record to the log. The change takes effect when the record is read back from the log.
    std::function<void(wire::SlotChange)> append;
    /// Sends a promise request to a candidate; its reply is passed to on_promise_reply().
    std::function<void(wire::PromiseRequest)> request_promise;
    /// Sends the claims of a slot to its next holder.
    std::function<void(const node_identity& successor, wire::HandOver)> hand_over;
};

/// Executes requests with an idempotency key at most once. Manages the slots that this node holds and the
/// promises that it has given to other holders, and runs the keyed requests at the targets of this node.
class claim_manager {
public:
    claim_manager(const time_source& clock, const slot_settings& settings, const claim_options& claims,
                  node_identity self, claim_manager_hooks hooks);

    // Commands for the control thread.
    void on_assignments(const slot_map& slots, std::span<const slot_assignment> changed);
    void on_fresh_log_read(steady_time issued_at);
    void on_places(const std::string& service, std::vector<eligible_node> places);
    void on_alive_nodes(const std::vector<node_identity>& alive);
    void on_promise_reply(const wire::PromiseReply& reply);
    wire::PromiseReply on_promise_request(const wire::PromiseRequest& request);
    /// Imports the claims of a slot and appends the assignment that makes this node its holder.
    /// FAILED_PRECONDITION when the new holder is not this incarnation of this node.
    absl::Status on_hand_over(const wire::HandOver& message);
    void set_draining();
    /// Proposes slot changes and renews promises. Must be called once a second.
    void on_tick(const slot_map& slots, bool log_is_fresh);

    // Commands for any shard.
    awaitable<exchange_result> run(gate& local_gate, const request_head& head, body_reader& body,
                                   response_writer& writer);

    // Queries.
    /// Returns the node that holds the slot of a keyed request; empty before the first assignment.
    [[nodiscard]] std::optional<node_identity> holder_of(const request_head& head) const;
    /// Returns the number of slots that this node holds according to the log records that it has read.
    [[nodiscard]] std::size_t held_slots() const;
    [[nodiscard]] claim_counts counts() const { return ledger_.counts(); }

private:
    struct keyed_request {
        slot_id slot;
        std::string key;
        std::shared_ptr<slot_holder> holder;
        slot_decision decision;
    };
    struct slot_state {
        std::shared_ptr<slot_holder> holder;
        std::unique_ptr<promise_collector> promises;
    };
    using holder_map = std::map<slot_id, node_identity>;

    slot_state& slot_state_for(const slot_id& slot);
    [[nodiscard]] std::shared_ptr<slot_holder> find_holder(const slot_id& slot) const;
    void start_slot_change(const slot_change& change, wire::SlotChange& batch);
    void start_hand_over(const slot_change& change);
    void finish_hand_overs();

    awaitable<exchange_result> run_claimed(gate& local_gate, const keyed_request& request,
                                           const request_head& head, body_reader& body,
                                           response_writer& writer);
    static awaitable<exchange_result> replay(std::shared_ptr<const stored_answer> answer,
                                             response_writer& writer);
    static awaitable<exchange_result> answer_joiner(claim_completion end, response_writer& writer);
    void notify_joiners(const claim_completion& end);

    const time_source& clock_;
    const slot_options options_;
    const node_identity self_;
    const claim_manager_hooks hooks_;
    claim_ledger ledger_;
    lease_promises promises_;
    takeover_policy policy_;
    waiter_table<claim_completion> joiners_;
    std::atomic<joiner_id> next_joiner_{1};
    rcu_cell<holder_map> holders_;
    mutable std::mutex mutex_;  ///< Guards the map only; the slot holders do their own locking.
    std::map<slot_id, slot_state> slots_;
    std::vector<slot_change> pending_hand_overs_;  ///< Control thread only.
};

}  // namespace teaselpitch
